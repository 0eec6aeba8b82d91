package org.hickoryshed.load.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.locks.LockSupport;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.load.caller.Caller;

/** The run of one stream under one variant. */
final class StreamRun {

  /** The number of requests that are in flight at most, beyond which the tool itself is late. */
  private static final int IN_FLIGHT = 1_000;

  /** The nanoseconds of a second. */
  private static final double SECOND = 1e9;

  /** The nanoseconds of a millisecond. */
  private static final long MILLISECOND = 1_000_000;

  /** The experiment. */
  private final Experiment experiment;

  /** The stream. */
  private final StreamSpec spec;

  /** The addresses of the proxies. */
  private final List<String> proxies;

  /** The underlying caller. */
  private final JsonHttpClient http;

  /** The sessions. */
  private final List<Caller> sessions = new ArrayList<>();

  /** The result. */
  private final StreamResult result = new StreamResult();

  /** The source of random numbers. */
  private final RandomGenerator random;

  /** The permits for requests in flight. */
  private final Semaphore permits = new Semaphore(IN_FLIGHT);

  /**
   * Creates a new run.
   *
   * @param experiment The experiment.
   * @param spec The stream.
   * @param proxies The addresses of the proxies.
   * @param http The underlying caller.
   */
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
   * Lets requests arrive at random times with the rate of the stream.
   *
   * @param start The start of the measurement in nanoseconds, after the warm-up.
   */
  void run(long start) {
    long next = System.nanoTime();
    long end = start + experiment.duration().toNanos();
    for (long number = 0; next < end; number++) {
      long elapsed = (next - start) / MILLISECOND;
      int factor = spec.crest() ? experiment.factor(elapsed) : 1;
      next += (long) (random.nextExponential() * SECOND / (spec.perSecond() * (double) factor));
      LockSupport.parkNanos(next - System.nanoTime());
      long intended = next;
      long request = number;
      int choice = random.nextInt(Integer.MAX_VALUE);
      permits.acquireUninterruptibly();
      Thread.ofVirtual().start(() -> send(request, choice, intended, start));
    }
    permits.acquireUninterruptibly(IN_FLIGHT);
  }

  /**
   * Returns the figures.
   *
   * @return The figures.
   */
  StreamResult.Figures figures() {
    return result.figures();
  }

  /**
   * Sends a request and records the answer.
   *
   * @param number The number of the request.
   * @param choice A random number.
   * @param intended The intended start in nanoseconds.
   * @param start The start of the measurement in nanoseconds.
   */
  private void send(long number, int choice, long intended, long start) {
    try {
      String object = "object-" + choice % spec.partitions();
      Caller.Request request =
          Caller.Request.of(spec.statement(), object, "value")
              .withCost(spec.costMillis())
              .withWait(spec.waitSeconds());
      if (spec.keyed()) {
        request = request.withKey(spec.name() + "-" + start + "-" + number);
      }
      Caller caller =
          sessions.isEmpty() ? new Caller(http) : sessions.get(choice % sessions.size());
      String proxy = proxies.get((int) (number % proxies.size()));
      Caller.Answer answer =
          caller.send(proxy, "/v1/routes/" + spec.route() + "/statements", request);
      if (intended >= start) {
        long now = System.nanoTime();
        result.record(answer, (now - intended) / 1000, (now - start) / MILLISECOND);
      }
    } finally {
      permits.release();
    }
  }
}
