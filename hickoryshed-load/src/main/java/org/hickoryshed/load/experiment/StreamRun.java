package org.hickoryshed.load.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.load.caller.Caller;

/**
 * Runs one stream under one variant as an open loop: requests start at random times, whether or not
 * earlier ones were answered.
 */
final class StreamRun {

  /**
   * The largest number of requests in flight. Beyond it, requests start late, which their latency
   * includes.
   */
  private static final int MAXIMUM_IN_FLIGHT = 1_000;

  private static final double NANOS_PER_SECOND = 1e9;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Experiment experiment;

  private final StreamSpec spec;

  private final List<String> proxies;

  private final JsonHttpClient http;

  /** The sessions, empty if each request is sent without a session token. */
  private final List<Caller> sessions = new ArrayList<>();

  private final StreamResult result = new StreamResult();

  /** The random numbers, seeded by the name of the stream and therefore the same in each run. */
  private final RandomGenerator random;

  private final Semaphore permits = new Semaphore(MAXIMUM_IN_FLIGHT);

  StreamRun(Experiment experiment, StreamSpec spec, List<String> proxies, JsonHttpClient http) {
    this.experiment = experiment;
    this.spec = spec;
    this.proxies = proxies;
    this.http = http;
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(spec.name().hashCode());
    for (int number = 0; number < spec.sessions(); number++) {
      sessions.add(new Caller(http));
    }
  }

  /**
   * Sends requests with exponentially distributed pauses until the measurement ends, then waits for
   * the answers to all of them.
   *
   * @param start The start of the measurement in nanoseconds; earlier requests are the warm-up.
   */
  void run(long start) {
    long next = System.nanoTime();
    long end = start + experiment.duration().toNanos();
    for (long number = 0; next < end; number++) {
      long elapsedMillis = (next - start) / NANOS_PER_MILLI;
      int factor = spec.followsPeak() ? experiment.rateFactor(elapsedMillis) : 1;
      next +=
          (long)
              (random.nextExponential() * NANOS_PER_SECOND / (spec.perSecond() * (double) factor));
      LockSupport.parkNanos(next - System.nanoTime());
      long intended = next;
      long request = number;
      int randomNumber = random.nextInt(Integer.MAX_VALUE);
      permits.acquireUninterruptibly();
      Thread.ofVirtual().start(() -> send(request, randomNumber, intended, start));
    }
    permits.acquireUninterruptibly(MAXIMUM_IN_FLIGHT);
  }

  StreamResult.Figures figures() {
    return result.figures();
  }

  /**
   * Sends a request and records the answer, unless it belongs to the warm-up.
   *
   * @param number The number of the request, which selects the proxy.
   * @param randomNumber A random number, which selects the object and the session.
   * @param intended The intended start in nanoseconds.
   * @param start The start of the measurement in nanoseconds.
   */
  private void send(long number, int randomNumber, long intended, long start) {
    try {
      String object = "object-" + randomNumber % spec.partitions();
      Caller.Request request =
          Caller.Request.of(spec.statement(), object, "value")
              .withCost(spec.costMillis())
              .withWait(spec.waitSeconds());
      if (spec.keyed()) {
        request = request.withKey(spec.name() + "-" + start + "-" + number);
      }
      Caller caller =
          sessions.isEmpty() ? new Caller(http) : sessions.get(randomNumber % sessions.size());
      String proxy = proxies.get((int) (number % proxies.size()));
      Caller.Answer answer =
          caller.send(proxy, "/v1/routes/" + spec.route() + "/statements", request);
      if (intended >= start) {
        long now = System.nanoTime();
        result.record(answer, (now - intended) / 1000, (now - start) / NANOS_PER_MILLI);
      }
    } finally {
      permits.release();
    }
  }
}
