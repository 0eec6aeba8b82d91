package org.hickoryshed.load.experiment;

import java.time.Duration;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * A stream of requests that arrive whether or not earlier ones were answered.
 *
 * @param name The name of the stream.
 * @param route The name of the route.
 * @param statement The name of the statement.
 * @param perSecond The number of requests a second.
 * @param costMillis The time in milliseconds that the statement takes at the member.
 * @param sessions The number of sessions that roam between proxies, zero for callers that keep
 *     none.
 * @param partitions The number of partitions that the requests are spread over.
 * @param crest {@code true} if the rate follows the crest.
 * @param waitSeconds The time in seconds after which callers give up.
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
    boolean crest,
    int waitSeconds,
    boolean keyed) {

  /** The highest number of requests a second. */
  private static final int MAXIMUM_RATE = 5_000;

  /** The default time after which callers give up. */
  private static final Duration WAIT = Duration.ofSeconds(8);

  /** The default number of partitions. */
  private static final int PARTITIONS = 64;

  /**
   * Reads a stream.
   *
   * @param reader The reader.
   * @param name The name of the stream.
   * @return The stream.
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
        reader.integer(key + "partitions", PARTITIONS, 1, 10_000),
        reader.flag(key + "crest", false),
        (int) reader.duration(key + "wait", WAIT).toSeconds(),
        reader.flag(key + "keyed", false));
  }
}
