package org.hickoryshed.load.demonstration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.platform.StoreClient;
import org.hickoryshed.client.platform.StoreClient.Versioned;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.load.caller.Caller;

/** The demonstration of the quickstart: each step prints what was seen. */
public final class Demonstration {

  /** The route that writes orders. */
  private static final String ORDERS = "/v1/routes/place-order/statements";

  /** The route that reads stock. */
  private static final String STOCK = "/v1/routes/check-stock/statements";

  /** The route that reads the catalogue. */
  private static final String CATALOGUE = "/v1/routes/catalogue/statements";

  /** The route of transactions. */
  private static final String TRANSACTIONS = "/v1/routes/place-order/transactions";

  /** The longest time to wait for a condition. */
  private static final Duration PATIENCE = Duration.ofSeconds(60);

  /** The longest time to wait for the platform or a member. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** The underlying caller. */
  private final JsonHttpClient http;

  /** The addresses of the proxies for callers. */
  private final List<String> proxies;

  /** The address of the platform's store. */
  private final String store;

  /** A mark that keeps runs apart. */
  private final String mark = UUID.randomUUID().toString().substring(0, 6);

  /** The number of failed steps. */
  private int failures;

  /**
   * Creates a new demonstration.
   *
   * @param http The underlying caller.
   * @param proxies The addresses of three proxies for callers.
   * @param store The address of the platform's store.
   */
  public Demonstration(JsonHttpClient http, List<String> proxies, String store) {
    this.http = http;
    this.proxies = List.copyOf(proxies);
    this.store = store;
  }

  /**
   * Runs all steps.
   *
   * @return The number of failed steps.
   */
  public int run() {
    if (!awaitService()) {
      return failures;
    }
    readYourWrites();
    idempotentWrite();
    transaction();
    readOfStatedAge();
    failover();
    return failures;
  }

  /**
   * Waits until each proxy serves writes.
   *
   * @return {@code true} if each proxy serves writes.
   */
  private boolean awaitService() {
    boolean served = true;
    long start = System.nanoTime();
    for (String proxy : proxies) {
      for (int number = 0; number < 12; number++) {
        served = served && await(proxy, Caller.Request.of("put", "warm-" + number, mark));
      }
    }
    step("every proxy serves writes", served, "after %d ms".formatted(millisSince(start)));
    return served;
  }

  /** Writes through one proxy and reads through another, with and without a token. */
  private void readYourWrites() {
    Caller caller = new Caller(http);
    String object = "order-" + mark;
    Caller.Answer write =
        caller.send(proxies.get(0), ORDERS, Caller.Request.of("append", object, "velvet"));
    Caller.Answer read = caller.send(proxies.get(1), STOCK, Caller.Request.of("get", object, ""));
    step(
        "write at proxy 1, read by token at proxy 2",
        write.isDone() && read.values().contains("velvet"),
        "written at %s, read %s at %s".formatted(write.member(), read.values(), read.member()));
    Caller.Answer without =
        new Caller(http).send(proxies.get(2), STOCK, Caller.Request.of("get", object, ""));
    step(
        "read without a token at proxy 3",
        without.values().contains("velvet"),
        "read %s at %s, replica: %s"
            .formatted(without.values(), without.member(), without.isByReplica()));
  }

  /** Sends a write twice under one idempotency key. */
  private void idempotentWrite() {
    Caller caller = new Caller(http);
    String object = "charge-" + mark;
    Caller.Request charge = Caller.Request.of("append", object, "minibar").withKey(mark);
    Caller.Answer first = caller.send(proxies.get(0), ORDERS, charge);
    Caller.Answer second = caller.send(proxies.get(1), ORDERS, charge);
    Caller.Answer read = caller.send(proxies.get(2), STOCK, Caller.Request.of("get", object, ""));
    step(
        "one charge sent twice under one key",
        first.isDone() && second.isDone() && read.values().size() == 1,
        "the folio shows " + read.values());
  }

  /** Runs a transaction whose statements come through different proxies. */
  private void transaction() {
    Caller caller = new Caller(http);
    String object = "headboard-" + mark;
    Caller.Answer begin =
        caller.send(proxies.get(0), TRANSACTIONS, Caller.Request.of("begin", object, ""));
    String path = TRANSACTIONS + "/" + begin.transaction();
    Caller.Answer frame =
        caller.send(
            proxies.get(1), path + "/statements", Caller.Request.of("append", object, "frame"));
    Caller.Answer leather =
        caller.send(
            proxies.get(2), path + "/statements", Caller.Request.of("append", object, "leather"));
    Caller.Answer before =
        new Caller(http).send(proxies.get(1), STOCK, Caller.Request.of("get", object, ""));
    Caller.Answer commit =
        caller.send(proxies.get(1), path + "/commit", Caller.Request.of("commit", object, ""));
    Caller.Answer after = caller.send(proxies.get(2), STOCK, Caller.Request.of("get", object, ""));
    step(
        "a transaction that roams over three proxies",
        frame.isDone()
            && leather.isDone()
            && commit.isDone()
            && before.values().isEmpty()
            && after.values().equals(List.of("frame", "leather")),
        "before commit %s, after commit %s (writes %s and %s, commit %s)"
            .formatted(
                before.values(),
                after.values(),
                frame.outcome(),
                leather.outcome(),
                commit.outcome()));
  }

  /** Reads the catalogue at a stated age from a replica. */
  private void readOfStatedAge() {
    Caller.Answer read =
        new Caller(http)
            .send(
                proxies.get(1), CATALOGUE, Caller.Request.of("get", "warm-1", "").withMaxStale(5));
    step(
        "a catalogue read that accepts 5 s of age",
        read.isDone() && read.isByReplica() && read.values().contains(mark),
        "read %s at replica %s".formatted(read.values(), read.member()));
  }

  /** Halts a primary and goes on writing. */
  private void failover() {
    Caller caller = new Caller(http);
    String object = "order-" + mark;
    Caller.Answer before =
        caller.send(proxies.get(1), ORDERS, Caller.Request.of("append", object, "before"));
    halt(before.member());
    long start = System.nanoTime();
    Caller.Request write = Caller.Request.of("append", object, "after").withKey("after-" + mark);
    Caller.Answer after = caller.send(proxies.get(1), ORDERS, write);
    while (!after.isDone() && millisSince(start) < PATIENCE.toMillis()) {
      after = caller.send(proxies.get(1), ORDERS, write);
    }
    long gap = millisSince(start);
    Caller.Answer read = caller.send(proxies.get(2), STOCK, Caller.Request.of("get", object, ""));
    step(
        "a killed primary, and writes going on",
        after.isDone() && read.values().equals(List.of("velvet", "before", "after")),
        "%s was halted, %s serves after %d ms, the log shows %s"
            .formatted(before.member(), after.member(), gap, read.values()));
  }

  /**
   * Halts the process of a member.
   *
   * @param name The name of the member.
   */
  private void halt(String name) {
    Optional<Versioned<Configuration>> read =
        new StoreClient(http, store)
            .read(StoreClient.CONFIGURATION, Configuration.class, TIMEOUT)
            .value()
            .flatMap(found -> found);
    String address =
        read.stream()
            .flatMap(found -> found.value().databases().stream())
            .flatMap(database -> database.member(name).stream())
            .map(Member::address)
            .findFirst()
            .orElse("");
    // The process halts before it can answer.
    http.call("POST", address, "/v1/faults", Map.of("exit", true), TIMEOUT);
  }

  /**
   * Repeats a write until it is done.
   *
   * @param proxy The address of the proxy.
   * @param request The request.
   * @return {@code true} if the write was done in time.
   */
  private boolean await(String proxy, Caller.Request request) {
    long start = System.nanoTime();
    while (millisSince(start) < PATIENCE.toMillis()) {
      if (new Caller(http).send(proxy, ORDERS, request).isDone()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Prints a step.
   *
   * @param name The name of the step.
   * @param passed {@code true} if the step passed.
   * @param seen What was seen.
   */
  private void step(String name, boolean passed, String seen) {
    System.out.printf("  %-6s %-45s %s%n", passed ? "ok" : "FAILED", name, seen);
    failures += passed ? 0 : 1;
  }

  /**
   * Returns the time since a start.
   *
   * @param start The start in nanoseconds.
   * @return The time in milliseconds.
   */
  private static long millisSince(long start) {
    return (System.nanoTime() - start) / 1_000_000;
  }
}
