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

/**
 * The demonstration that the quickstart runs against a cluster. Each step sends requests as an
 * application would, checks the answers and prints what it observed.
 */
public final class Demonstration {

  /** The resource for statements that write orders. */
  private static final String ORDERS = "/v1/routes/place-order/statements";

  /** The resource for statements that read the stock. */
  private static final String STOCK = "/v1/routes/check-stock/statements";

  /** The resource for statements that read the catalogue. */
  private static final String CATALOGUE = "/v1/routes/catalogue/statements";

  /** The resource for transactions. */
  private static final String TRANSACTIONS = "/v1/routes/place-order/transactions";

  /** The longest time to retry a write. */
  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);

  /** The timeout of a request to the platform or a member. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private final JsonHttpClient http;

  private final List<String> proxies;

  private final String store;

  /** A random part of the object names, so that runs against the same cluster do not interfere. */
  private final String runId = UUID.randomUUID().toString().substring(0, 6);

  private int failures;

  /**
   * Creates a demonstration.
   *
   * @param http The HTTP client.
   * @param proxies The addresses at which three proxies serve callers.
   * @param store The address of the platform's object store.
   */
  public Demonstration(JsonHttpClient http, List<String> proxies, String store) {
    this.http = http;
    this.proxies = List.copyOf(proxies);
    this.store = store;
  }

  /**
   * Runs all steps, or only the first one if the proxies do not serve writes in time.
   *
   * @return The number of failed steps.
   */
  public int run() {
    if (!awaitProxies()) {
      return failures;
    }
    readYourWrites();
    idempotentWrite();
    transaction();
    readWithBoundedStaleness();
    failover();
    return failures;
  }

  /**
   * Waits until each proxy serves writes to twelve objects.
   *
   * @return {@code true} if they were served in time.
   */
  private boolean awaitProxies() {
    boolean ready = true;
    long start = System.nanoTime();
    for (String proxy : proxies) {
      for (int number = 0; number < 12; number++) {
        ready = ready && awaitWrite(proxy, Caller.Request.of("put", "warm-" + number, runId));
      }
    }
    report("every proxy serves writes", ready, "after %d ms".formatted(millisSince(start)));
    return ready;
  }

  /** Writes through one proxy and reads through others, with and without the session token. */
  private void readYourWrites() {
    Caller caller = new Caller(http);
    String object = "order-" + runId;
    Caller.Answer write =
        caller.send(proxies.get(0), ORDERS, Caller.Request.of("append", object, "velvet"));
    Caller.Answer read = caller.send(proxies.get(1), STOCK, Caller.Request.of("get", object, ""));
    report(
        "write at proxy 1, read with token at proxy 2",
        write.isDone() && read.values().contains("velvet"),
        "written at %s, read %s at %s".formatted(write.member(), read.values(), read.member()));
    Caller.Answer withoutToken =
        new Caller(http).send(proxies.get(2), STOCK, Caller.Request.of("get", object, ""));
    report(
        "read without a token at proxy 3",
        withoutToken.values().contains("velvet"),
        "read %s at %s, replica: %s"
            .formatted(withoutToken.values(), withoutToken.member(), withoutToken.isByReplica()));
  }

  /** Sends the same write twice, through different proxies, with one idempotency key. */
  private void idempotentWrite() {
    Caller caller = new Caller(http);
    String object = "charge-" + runId;
    Caller.Request charge = Caller.Request.of("append", object, "minibar").withKey(runId);
    Caller.Answer first = caller.send(proxies.get(0), ORDERS, charge);
    Caller.Answer second = caller.send(proxies.get(1), ORDERS, charge);
    Caller.Answer read = caller.send(proxies.get(2), STOCK, Caller.Request.of("get", object, ""));
    report(
        "one charge sent twice under one key",
        first.isDone() && second.isDone() && read.values().size() == 1,
        "the object holds " + read.values());
  }

  /** Runs a transaction whose requests go through different proxies. */
  private void transaction() {
    Caller caller = new Caller(http);
    String object = "headboard-" + runId;
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
    report(
        "a transaction through three proxies",
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

  /** Reads from a replica by accepting data of a limited age. */
  private void readWithBoundedStaleness() {
    Caller.Answer read =
        new Caller(http)
            .send(
                proxies.get(1), CATALOGUE, Caller.Request.of("get", "warm-1", "").withMaxStale(5));
    report(
        "a catalogue read that accepts data 5 s old",
        read.isDone() && read.isByReplica() && read.values().contains(runId),
        "read %s at replica %s".formatted(read.values(), read.member()));
  }

  /** Halts a primary and retries a write until its successor executes it. */
  private void failover() {
    Caller caller = new Caller(http);
    String object = "order-" + runId;
    Caller.Answer before =
        caller.send(proxies.get(1), ORDERS, Caller.Request.of("append", object, "before"));
    haltMember(before.member());
    long start = System.nanoTime();
    Caller.Request write = Caller.Request.of("append", object, "after").withKey("after-" + runId);
    Caller.Answer after = caller.send(proxies.get(1), ORDERS, write);
    while (!after.isDone() && millisSince(start) < AWAIT_TIMEOUT.toMillis()) {
      after = caller.send(proxies.get(1), ORDERS, write);
    }
    long gapMillis = millisSince(start);
    Caller.Answer read = caller.send(proxies.get(2), STOCK, Caller.Request.of("get", object, ""));
    report(
        "a write across the failure of a primary",
        after.isDone() && read.values().equals(List.of("velvet", "before", "after")),
        "%s was halted, %s served the write after %d ms, the object holds %s"
            .formatted(before.member(), after.member(), gapMillis, read.values()));
  }

  /** Halts the process of a member, whose address is read from the configuration in the store. */
  private void haltMember(String name) {
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
    // There is no response, because the process halts at once.
    http.call("POST", address, "/v1/faults", Map.of("exit", true), TIMEOUT);
  }

  /**
   * Retries a write until it is done.
   *
   * @return {@code true} if the write was done in time.
   */
  private boolean awaitWrite(String proxy, Caller.Request request) {
    long start = System.nanoTime();
    while (millisSince(start) < AWAIT_TIMEOUT.toMillis()) {
      if (new Caller(http).send(proxy, ORDERS, request).isDone()) {
        return true;
      }
    }
    return false;
  }

  /** Prints the result of a step and counts it if it failed. */
  private void report(String name, boolean passed, String observed) {
    System.out.printf("  %-6s %-45s %s%n", passed ? "ok" : "FAILED", name, observed);
    failures += passed ? 0 : 1;
  }

  /** Returns the milliseconds since a time of {@link System#nanoTime()}. */
  private static long millisSince(long start) {
    return (System.nanoTime() - start) / 1_000_000;
  }
}
