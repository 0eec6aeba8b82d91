package org.hickoryshed.load.experiment;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.client.platform.StoreClient;
import org.hickoryshed.client.platform.StoreClient.Versioned;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.hickoryshed.load.caller.Caller;

/** Runs experiments against running processes. */
public final class ExperimentRunner {

  /** The longest time to wait for the platform or a member. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** The time in which an accepted configuration comes into force. */
  private static final long IN_FORCE = 3_000;

  /** The number of partitions that must be served before an experiment begins. */
  private static final int PARTITIONS = 16;

  /** The number of times that a write is tried before an experiment begins. */
  private static final int TRIES = 20;

  /** The pause in milliseconds between two tries. */
  private static final long RETRY_PAUSE = 500;

  /** The underlying caller. */
  private final JsonHttpClient http;

  /** The addresses of the proxies. */
  private final List<String> proxies;

  /** The store. */
  private final StoreClient store;

  /**
   * Creates a new runner.
   *
   * @param http The underlying caller.
   * @param proxies The addresses of the proxies.
   * @param storeAddress The address of the platform's store.
   */
  public ExperimentRunner(JsonHttpClient http, List<String> proxies, String storeAddress) {
    this.http = http;
    this.proxies = List.copyOf(proxies);
    store = new StoreClient(http, storeAddress);
  }

  /**
   * Runs an experiment and prints its figures.
   *
   * @param reader The reader of the experiment.
   * @return The figures by variant and stream, or an empty optional if the file is faulty.
   */
  public Optional<Map<String, Map<String, StreamResult.Figures>>> run(SettingsReader reader) {
    Experiment experiment = Experiment.read(reader);
    List<SettingsProblem> problems = reader.problems();
    problems.forEach(System.err::println);
    if (!problems.isEmpty()) {
      return Optional.empty();
    }
    awaitService();
    Map<String, Map<String, StreamResult.Figures>> results = new LinkedHashMap<>();
    setLag(experiment.replicaLag());
    for (Variant variant : experiment.variants()) {
      apply(variant);
      results.put(variant.name(), runVariant(experiment));
    }
    setLag(Duration.ZERO);
    print(experiment, results);
    return Optional.of(results);
  }

  /** Waits until each proxy serves writes to many partitions. */
  private void awaitService() {
    for (String proxy : proxies) {
      for (int number = 0; number < PARTITIONS; number++) {
        Caller.Request request = Caller.Request.of("put", "object-" + number, "value");
        int tries = 0;
        while (!new Caller(http)
            .send(proxy, "/v1/routes/place-order/statements", request)
            .isDone()) {
          if (++tries == TRIES) {
            throw new IllegalStateException("proxy " + proxy + " serves no writes");
          }
          pause(RETRY_PAUSE);
        }
      }
    }
  }

  /**
   * Runs all streams under the variant in force.
   *
   * @param experiment The experiment.
   * @return The figures by stream.
   */
  private Map<String, StreamResult.Figures> runVariant(Experiment experiment) {
    long start = System.nanoTime() + experiment.warmUp().toNanos();
    Map<String, StreamRun> runs = new LinkedHashMap<>();
    List<Thread> threads = new ArrayList<>();
    for (StreamSpec spec : experiment.streams()) {
      StreamRun run = new StreamRun(experiment, spec, proxies, http);
      runs.put(spec.name(), run);
      threads.add(Thread.ofPlatform().start(() -> run.run(start)));
    }
    experiment
        .killAfter()
        .ifPresent(
            after -> {
              pause(experiment.warmUp().plus(after).toMillis());
              killPrimaries();
            });
    threads.forEach(ExperimentRunner::join);
    Map<String, StreamResult.Figures> figures = new LinkedHashMap<>();
    runs.forEach((name, run) -> figures.put(name, run.figures()));
    return figures;
  }

  /**
   * Prints figures side by side.
   *
   * @param experiment The experiment.
   * @param results The figures by variant and stream.
   */
  private static void print(
      Experiment experiment, Map<String, Map<String, StreamResult.Figures>> results) {
    System.out.println(experiment.name());
    System.out.printf(
        "  %-14s %-12s %7s %8s %8s %9s %9s %9s  %s%n",
        "variant", "stream", "done", "not-run", "unknown", "p50 ms", "p99 ms", "replica", "gap ms");
    results.forEach(
        (variant, streams) ->
            streams.forEach(
                (stream, figures) ->
                    System.out.printf(
                        "  %-14s %-12s %7d %8d %8d %9.1f %9.1f %8.1f%%  %s%n",
                        variant,
                        stream,
                        figures.done(),
                        figures.notRun(),
                        figures.unknown(),
                        figures.p50Millis(),
                        figures.p99Millis(),
                        figures.replicaShare() * 100,
                        figures.gapMillis())));
    results.forEach(
        (variant, streams) ->
            streams.forEach(
                (stream, figures) ->
                    System.out.printf(
                        "  %-14s %-12s done per second %s%n",
                        variant, stream, new java.util.TreeMap<>(figures.donePerSecond()))));
  }

  /**
   * Applies a variant as an operator would and waits until it is in force.
   *
   * @param variant The variant.
   */
  private void apply(Variant variant) {
    Versioned<Configuration> accepted = accepted();
    Configuration next = variant.apply(accepted.value());
    if (!store
        .write(StoreClient.CONFIGURATION, accepted.version(), next, TIMEOUT)
        .value()
        .orElse(false)) {
      throw new IllegalStateException("the store did not accept variant " + variant.name());
    }
    pause(IN_FORCE);
  }

  /**
   * Sets the lag of all members.
   *
   * @param lag The lag.
   */
  private void setLag(Duration lag) {
    for (Database database : accepted().value().databases()) {
      for (Member member : database.members()) {
        Object faults = Map.of("lagMillis", lag.toMillis());
        http.call("POST", member.address(), "/v1/faults", faults, TIMEOUT);
      }
    }
  }

  /** Halts the primary of each database. */
  private void killPrimaries() {
    MemberClient client = new MemberClient(http);
    for (Database database : accepted().value().databases()) {
      for (Member member : database.members()) {
        Optional<MemberStatus> status = client.status(member.address(), TIMEOUT).value();
        if (status.filter(MemberStatus::isPrimary).isPresent()) {
          http.call("POST", member.address(), "/v1/faults", Map.of("exit", true), TIMEOUT);
        }
      }
    }
  }

  /**
   * Reads the accepted configuration.
   *
   * @return The accepted configuration.
   */
  private Versioned<Configuration> accepted() {
    return store
        .read(StoreClient.CONFIGURATION, Configuration.class, TIMEOUT)
        .value()
        .flatMap(found -> found)
        .orElseThrow(() -> new IllegalStateException("the store holds no configuration"));
  }

  /**
   * Pauses the current thread.
   *
   * @param millis The duration in milliseconds.
   */
  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Waits for the end of a thread.
   *
   * @param thread The thread.
   */
  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
