package org.hickoryshed.load.experiment;

import java.time.Duration;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * A stream of requests with a given rate, one table {@code streams} of an experiment file.
 *
 * @param name The name of the stream.
 * @param route The name of the route.
 * @param statement The name of the statement.
 * @param perSecond The mean number of requests per second.
 * @param costMillis The execution time of the statement at the member in milliseconds.
 * @param sessions The number of sessions that the requests are spread over; they change proxies
 *     between requests. Zero sends each request without a session token.
 * @param partitions The number of partitions that the requests are spread over.
 * @param followsPeak {@code true} if the load peak of the experiment raises the rate; the settings
 *     call it {@code crest}.
 * @param waitSeconds The time in seconds after which the proxy gives a request up.
 * @param keyed {@code true} if each request carries an idempotency key.
 */
record StreamSpec(
    String name,
    String route,
    String statement,
    int perSecond,
    int costMillis,
    int sessions,
    int partitions,
    boolean followsPeak,
    int waitSeconds,
    boolean keyed) {

  /** The highest rate in requests per second. */
  private static final int MAXIMUM_RATE = 5_000;

  private static final Duration DEFAULT_WAIT = Duration.ofSeconds(8);

  private static final int DEFAULT_PARTITIONS = 64;

  /**
   * Reads a stream.
   *
   * @param reader The reader, which collects the problems that it finds.
   * @param name The name of the stream.
   * @return The stream; meaningless if the reader has found problems.
   */
  static StreamSpec read(SettingsReader reader, String name) {
    String key = "streams." + name + ".";
    return new StreamSpec(
        name,
        reader.text(key + "route"),
        reader.text(key + "statement"),
        reader.integer(key + "rate", 10, 1, MAXIMUM_RATE),
        (int) reader.duration(key + "cost", Duration.ZERO).toMillis(),
        reader.integer(key + "sessions", 0, 0, 1_000),
        reader.integer(key + "partitions", DEFAULT_PARTITIONS, 1, 10_000),
        reader.flag(key + "crest", false),
        (int) reader.duration(key + "wait", DEFAULT_WAIT).toSeconds(),
        reader.flag(key + "keyed", false));
  }
}
