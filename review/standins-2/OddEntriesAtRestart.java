import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Another writer leaves large entries among those of the members, then all proxies are killed at
 * the same moment and start again.
 *
 * <p>Exits with 1 if less than a quarter of the requests is served later than the recovery time, 0
 * if more are, and 2 if the case could not run.
 */
final class OddEntriesAtRestart extends Case {

  /** ValueBytes in the settings of a process. */
  private static final int VALUE_BYTES = 1_048_576;

  private static final int ODD_ENTRIES = 2;

  /** How deeply the values are nested. */
  private static final int DEPTH = 27;

  /** The time for which all proxies are down. */
  private static final long DOWN_MILLIS = 870;

  private static final long RECOVERY_MILLIS = 12_000;

  /** A process that ends is restarted after this time. */
  private static final long RESTART_MILLIS = 1000;

  private static final long MEASURED_MILLIS = 10_000;

  private OddEntriesAtRestart() {}

  public static void main(String[] arguments) {
    run(new OddEntriesAtRestart(), arguments);
  }

  @Override
  int play() throws IOException, InterruptedException {
    Database database = database("orders-db", 0);
    platform.promoter = (service, id) -> database.promote(id);
    platform.put(
        "config",
        "main",
        """
        {"Version":3,"Routes":[{"Name":"r1","Host":"orders","Type":"primary","TimeoutMs":800,
         "TargetLatencyMs":300,"Priority":1,"Service":"orders-db"}],
         "Services":[{"Name":"orders-db","MaxConnections":16,"SyncReplicas":0}],
         "Limits":{"TxIdleMs":3000}}
        """);
    database.add("i-primary", "gimpo", "127.0.2.1", 0, null);
    database.add("i-seobu", "seobu", "127.0.2.2", 0, null);
    database.add("i-anseong", "anseong", "127.0.2.3", 0, null);
    List<String> zones = List.of("gimpo", "seobu", "anseong");
    if (!startProxies(zones)) {
      return NOT_RUN;
    }
    if (trouble) {
      for (int number = 0; number < ODD_ENTRIES; number++) {
        platform.put("servers", "inventory-" + number, oddEntry());
        log.line("another writer left the entry inventory-" + number);
        Thread.sleep(1000);
      }
    }
    double before = measure("before", 5000);
    if (before < 0.25) {
      log.line("not enough was served before the final fault");
      return NOT_RUN;
    }
    for (Proxy proxy : proxies) {
      proxy.signal("KILL");
    }
    for (Proxy proxy : proxies) {
      proxy.waitFor(2000);
    }
    Thread.sleep(DOWN_MILLIS);
    for (Proxy proxy : proxies) {
      proxy.start();
    }
    Thread supervisor = Thread.ofVirtual().start(() -> supervise());
    Thread.sleep(RECOVERY_MILLIS);
    double after = measure("after", MEASURED_MILLIS);
    supervisor.interrupt();
    supervisor.join();
    for (Proxy proxy : proxies) {
      proxy.output().stream()
          .filter(line -> line.contains("OutOfMemory") || line.contains("process-broken"))
          .forEach(line -> log.line(proxy.name + " wrote: " + line));
    }
    return after < 0.25 ? BROKEN : HELD;
  }

  /** A list of small nested values, as large as an object may be. */
  private static String oddEntry() {
    StringBuilder spec = new StringBuilder("{\"Service\":[");
    String value = "[".repeat(DEPTH) + "]".repeat(DEPTH);
    while (spec.length() < VALUE_BYTES - 200 - value.length()) {
      spec.append(value).append(',');
    }
    return spec.append("[]]}").toString();
  }

  /** Starts a process again that ended by itself, as the platform does. */
  private void supervise() {
    try {
      while (true) {
        Thread.sleep(RESTART_MILLIS);
        for (Proxy proxy : proxies) {
          if (!proxy.isAlive()) {
            log.line(proxy.name + " ended by itself with status " + proxy.exitStatus());
            proxy.start();
          }
        }
      }
    } catch (InterruptedException exception) {
      // The case is over.
    } catch (IOException exception) {
      log.line("restart failed: " + exception.getMessage());
    }
  }

  /** Sends requests through all proxies and returns the share that is served. */
  private double measure(String phase, long millis)
      throws InterruptedException {
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    List<Thread> clients = new ArrayList<>();
    long end = System.nanoTime() + millis * 1_000_000;
    for (Proxy proxy : proxies) {
      clients.add(
          Thread.ofVirtual()
              .start(
                  () -> {
                    while (System.nanoTime() < end) {
                      String id = phase + "-" + proxy.name + "-" + sent.incrementAndGet();
                      served.addAndGet(write(proxy, id) ? 1 : 0);
                      Platform.pause(100);
                    }
                  }));
    }
    for (Thread client : clients) {
      client.join();
    }
    log.line("%s: %d of %d requests were served".formatted(phase, served.get(), sent.get()));
    return served.get() / (double) sent.get();
  }

  private boolean write(Proxy proxy, String id) {
    try (Client client = new Client(proxy.front, "orders", 2000)) {
      Client.Response response = client.query(id, "WRITE item " + id);
      log.line(id + " -> " + response.outcome());
      return response.isDone();
    } catch (IOException exception) {
      log.line(id + " -> " + exception.getMessage());
      return false;
    }
  }
}
