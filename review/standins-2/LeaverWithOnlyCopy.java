import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A replica is replaced as planned while the other one receives nothing, and the primary crashes
 * before the successor, to which the log of the replica is transferred, has registered.
 *
 * <p>Exits with 1 if an acknowledged commit is not in the log of the promoted member, 0 if all are,
 * and 2 if the case could not run.
 */
final class LeaverWithOnlyCopy extends Case {

  private static final long DRAIN_MILLIS = 7000;

  /** AddrReuseS: an address of a member that is gone is used again after this time. */
  private static final long ADDRESS_REUSE_MILLIS = 2000;

  private LeaverWithOnlyCopy() {}

  public static void main(String[] arguments) {
    run(new LeaverWithOnlyCopy(), arguments);
  }

  @Override
  int play() throws IOException, InterruptedException {
    Database database = database("orders-db", 1);
    platform.promoter = (service, id) -> database.promote(id);
    platform.put(
        "config",
        "main",
        """
        {"Version":3,"Routes":[{"Name":"r1","Host":"orders","Type":"primary","TimeoutMs":800,
         "TargetLatencyMs":300,"Priority":1,"Service":"orders-db"}],
         "Services":[{"Name":"orders-db","MaxConnections":16,"SyncReplicas":1}],
         "Limits":{"TxIdleMs":3000}}
        """);
    List<String> zones = List.of("gimpo", "seobu", "anseong");
    database.add("i-primary", "gimpo", "127.0.2.1", 0, null);
    Database.Member leaver = database.add("i-leaver", "seobu", "127.0.2.2", 0, null);
    database.add("i-other", "anseong", "127.0.2.3", 0, null);
    if (!startProxies(zones)) {
      return NOT_RUN;
    }
    Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    Map<String, Set<String>> promoted = new ConcurrentHashMap<>();
    Set<String> acknowledgedAtPromotion = ConcurrentHashMap.newKeySet();
    database.onLead =
        (id, values) -> {
          acknowledgedAtPromotion.addAll(acknowledged);
          promoted.put(id, values);
        };
    List<Thread> writers = new ArrayList<>();
    for (Proxy proxy : proxies) {
      writers.add(Thread.ofVirtual().start(() -> write(proxy, acknowledged)));
    }
    Thread.sleep(5000);
    leaver.register("draining");
    Thread.sleep(DRAIN_MILLIS + 500 - 4000);
    if (trouble) {
      database.setDeaf("i-other", true);
    }
    Thread.sleep(4000);
    int port = leaver.port();
    platform.remove("servers", "i-leaver");
    database.end("i-leaver", "left as planned");
    if (trouble) {
      Thread.sleep(300);
      database.end("i-primary", "crash");
      Thread.sleep(ADDRESS_REUSE_MILLIS - 300);
    } else {
      Thread.sleep(ADDRESS_REUSE_MILLIS);
    }
    database.add("i-successor", "seobu", "127.0.2.2", port, leaver);
    Thread.sleep(200);
    if (trouble) {
      database.setDeaf("i-other", false);
    }
    Thread.sleep(3800);
    if (trouble) {
      platform.remove("servers", "i-primary");
    }
    Thread.sleep(6000);
    writers.forEach(Thread::interrupt);
    log.line(acknowledged.size() + " writes were acknowledged");
    if (acknowledged.isEmpty()) {
      return NOT_RUN;
    }
    for (Map.Entry<String, Set<String>> entry : promoted.entrySet()) {
      Set<String> lost = new HashSet<>(acknowledgedAtPromotion);
      lost.removeAll(entry.getValue());
      log.line(
          "promoted %s: %d acknowledged commits are not in its log %s"
              .formatted(entry.getKey(), lost.size(), lost.stream().limit(5).toList()));
      if (!lost.isEmpty()) {
        return BROKEN;
      }
    }
    return HELD;
  }

  /** Writes one value after the other; what is acknowledged is recorded before the next one. */
  private void write(Proxy proxy, Set<String> acknowledged) {
    int number = 0;
    while (!Thread.currentThread().isInterrupted()) {
      try (Client client = new Client(proxy.front, "orders", 3000)) {
        while (!Thread.currentThread().isInterrupted()) {
          String value = proxy.name + "-" + ++number;
          Client.Response response = client.query(value, "WRITE item " + value);
          log.line(value + " -> " + response.outcome());
          if (response.isDone()) {
            acknowledged.add(value);
          }
          Thread.sleep(40);
        }
      } catch (IOException exception) {
        log.line(proxy.name + " client: " + exception.getMessage());
        Platform.pause(100);
      } catch (InterruptedException exception) {
        return;
      }
    }
  }
}
