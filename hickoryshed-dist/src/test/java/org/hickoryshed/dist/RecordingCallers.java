package org.hickoryshed.dist;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.hickoryshed.load.caller.Caller;
import org.hickoryshed.load.history.HistoryChecker;
import org.hickoryshed.load.history.Operation;
import org.hickoryshed.load.history.Violation;

/**
 * Concurrent callers that send random writes and reads to random proxies and record the history for
 * {@link HistoryChecker}.
 */
final class RecordingCallers {

  private static final int CALLERS = 6;
  private static final int OBJECTS = 3;
  private static final Duration TIMEOUT = Duration.ofSeconds(5);

  private final Cluster cluster;
  private final Queue<Operation> history = new ConcurrentLinkedQueue<>();
  private final Map<String, Set<String>> acknowledged = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
  private final Queue<String> unknownDetails = new ConcurrentLinkedQueue<>();
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean active = true;

  RecordingCallers(Cluster cluster) {
    this.cluster = cluster;
    for (int number = 0; number < OBJECTS; number++) {
      acknowledged.put(object(number), ConcurrentHashMap.newKeySet());
    }
  }

  void start() {
    for (int number = 0; number < CALLERS; number++) {
      int caller = number;
      threads.add(Thread.ofVirtual().start(() -> run(caller)));
    }
  }

  void stop() throws InterruptedException {
    active = false;
    for (Thread thread : threads) {
      thread.join();
    }
  }

  /** Returns the number of writes with an outcome. */
  int count(String outcome) {
    return outcomes.getOrDefault(outcome, new AtomicInteger()).get();
  }

  /** Returns the proxy and the detail of each write with an unknown outcome. */
  List<String> unknownDetails() {
    return List.copyOf(unknownDetails);
  }

  /** Waits until this many more writes are acknowledged. */
  void awaitWrites(int count) {
    int target = count("done") + count;
    cluster.await(count + " more writes", () -> count("done") >= target);
  }

  /** Reads the final state and checks the history. Call it after {@link #stop}. */
  List<Violation> check() {
    Map<String, List<String>> state = new HashMap<>();
    for (int number = 0; number < OBJECTS; number++) {
      state.put(object(number), finalValues(object(number)));
    }
    return HistoryChecker.check(history, state);
  }

  private List<String> finalValues(String object) {
    List<String> values = new ArrayList<>();
    cluster.await(
        "the final read",
        () -> {
          for (int domain : Cluster.DOMAINS) {
            Caller.Answer answer =
                new Caller(cluster.http())
                    .send(
                        cluster.proxy(domain), Cluster.STOCK, Caller.Request.of("get", object, ""));
            if (answer.isDone()) {
              values.clear();
              values.addAll(answer.values());
              return true;
            }
          }
          return false;
        });
    return values;
  }

  private void run(int number) {
    RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(number);
    Caller session = new Caller(cluster.http(), TIMEOUT);
    Map<String, Set<String>> acknowledgedToSession = new HashMap<>();
    for (int step = 0; active; step++) {
      String object = object(random.nextInt(OBJECTS));
      String proxy = cluster.proxy(Cluster.DOMAINS.get(random.nextInt(Cluster.DOMAINS.size())));
      switch (random.nextInt(4)) {
        case 0, 1 ->
            append(session, proxy, object, "c%d-%d".formatted(number, step), acknowledgedToSession);
        case 2 ->
            read(session, proxy, object, acknowledgedToSession.getOrDefault(object, Set.of()));
        default ->
            read(
                new Caller(cluster.http()), proxy, object, new HashSet<>(acknowledged.get(object)));
      }
    }
  }

  private void append(
      Caller session,
      String proxy,
      String object,
      String value,
      Map<String, Set<String>> acknowledgedToSession) {
    Caller.Request request = Caller.Request.of("append", object, value);
    boolean keyed = value.hashCode() % 2 == 0;
    Caller.Answer answer =
        session.send(
            proxy, Cluster.ORDERS + "/statements", keyed ? request.withKey(value) : request);
    outcomes.computeIfAbsent(answer.outcome(), key -> new AtomicInteger()).incrementAndGet();
    if (answer.outcome().equals("unknown")) {
      unknownDetails.add(proxy + ": " + answer.detail());
    }
    history.add(new Operation.Append(object, value, answer.outcome()));
    if (answer.isDone()) {
      acknowledged.get(object).add(value);
      acknowledgedToSession.computeIfAbsent(object, key -> new HashSet<>()).add(value);
    }
  }

  private void read(Caller caller, String proxy, String object, Set<String> required) {
    Set<String> requiredBefore = Set.copyOf(required);
    Caller.Answer answer = caller.send(proxy, Cluster.STOCK, Caller.Request.of("get", object, ""));
    if (answer.isDone()) {
      history.add(new Operation.Read(object, answer.values(), requiredBefore));
    }
  }

  private static String object(int number) {
    return "object-" + number;
  }
}
