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

/** Runs experiments against a running cluster and prints their results. */
public final class ExperimentRunner {

  /** The timeout of a request to the platform or a member. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** The time in milliseconds in which all proxies adopt a new configuration. */
  private static final long ADOPTION_MILLIS = 3_000;

  /** The number of partitions that each proxy must serve before an experiment begins. */
  private static final int REQUIRED_PARTITIONS = 16;

  /** The number of times that a write is tried before the run is given up. */
  private static final int MAXIMUM_TRIES = 20;

  /** The pause in milliseconds between two tries. */
  private static final long RETRY_PAUSE_MILLIS = 500;

  private final JsonHttpClient http;

  private final List<String> proxies;

  private final StoreClient store;

  /**
   * Creates a runner.
   *
   * @param http The HTTP client.
   * @param proxies The addresses at which the proxies serve callers.
   * @param storeAddress The address of the platform's object store.
   */
  public ExperimentRunner(JsonHttpClient http, List<String> proxies, String storeAddress) {
    this.http = http;
    this.proxies = List.copyOf(proxies);
    store = new StoreClient(http, storeAddress);
  }

  /**
   * Runs an experiment under each of its variants and prints the results.
   *
   * @param reader The reader of the experiment file. Its problems are printed on standard error.
   * @return The results by variant and stream, empty if the file has problems.
   * @throws IllegalStateException If a proxy serves no writes, the store holds no configuration or
   *     it does not accept a variant.
   */
  public Optional<Map<String, Map<String, StreamResult.Figures>>> run(SettingsReader reader) {
    Experiment experiment = Experiment.read(reader);
    List<SettingsProblem> problems = reader.problems();
    problems.forEach(System.err::println);
    if (!problems.isEmpty()) {
      return Optional.empty();
    }
    awaitProxies();
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

  /** Waits until each proxy serves writes to a number of partitions. */
  private void awaitProxies() {
    for (String proxy : proxies) {
      for (int number = 0; number < REQUIRED_PARTITIONS; number++) {
        Caller.Request request = Caller.Request.of("put", "object-" + number, "value");
        int tries = 0;
        while (!new Caller(http)
            .send(proxy, "/v1/routes/place-order/statements", request)
            .isDone()) {
          if (++tries == MAXIMUM_TRIES) {
            throw new IllegalStateException("proxy " + proxy + " serves no writes");
          }
          pause(RETRY_PAUSE_MILLIS);
        }
      }
    }
  }

  /** Runs all streams once, under the configuration that is in force. */
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

  /** Prints the results of all variants as a table, then the successes in each second. */
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
   * Writes a variant to the store as an operator would, and waits until proxies have adopted it.
   */
  private void apply(Variant variant) {
    Versioned<Configuration> current = readConfiguration();
    Configuration next = variant.apply(current.value());
    if (!store
        .write(StoreClient.CONFIGURATION, current.version(), next, TIMEOUT)
        .value()
        .orElse(false)) {
      throw new IllegalStateException("the store did not accept variant " + variant.name());
    }
    pause(ADOPTION_MILLIS);
  }

  /** Injects a replication lag into all members. */
  private void setLag(Duration lag) {
    for (Database database : readConfiguration().value().databases()) {
      for (Member member : database.members()) {
        Object faults = Map.of("lagMillis", lag.toMillis());
        http.call("POST", member.address(), "/v1/faults", faults, TIMEOUT);
      }
    }
  }

  /** Halts the primary of each database by fault injection. */
  private void killPrimaries() {
    MemberClient client = new MemberClient(http);
    for (Database database : readConfiguration().value().databases()) {
      for (Member member : database.members()) {
        Optional<MemberStatus> status = client.status(member.address(), TIMEOUT).value();
        if (status.filter(MemberStatus::isPrimary).isPresent()) {
          http.call("POST", member.address(), "/v1/faults", Map.of("exit", true), TIMEOUT);
        }
      }
    }
  }

  /** Reads the current configuration from the store. */
  private Versioned<Configuration> readConfiguration() {
    return store
        .read(StoreClient.CONFIGURATION, Configuration.class, TIMEOUT)
        .value()
        .flatMap(found -> found)
        .orElseThrow(() -> new IllegalStateException("the store holds no configuration"));
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private static void join(Thread thread) {
    try {
      thread.join();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
