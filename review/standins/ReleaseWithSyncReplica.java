import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients write to services with one synchronous replica while the primaries are replaced, one
 * after the other: a new member starts, then the primary reports that it leaves.
 *
 * <p>The rule is broken if a commit that was acknowledged to its client is not in the log of the
 * member that is promoted.
 */
final class ReleaseWithSyncReplica {

  private static final int SERVICES = 6;
  private static final int ROUNDS = 9;
  private static final int SESSIONS_PER_SERVICE = 2;
  private static final long DRAIN_MILLIS = 7000;
  private static final String FAR_ZONE = "seobu";

  private ReleaseWithSyncReplica() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !arguments[1].equals("0");
    Path temporary = Files.createTempDirectory("review");
    Record record = new Record(Path.of(arguments[0], "record.txt"));
    Map<String, String> regions = new LinkedHashMap<>();
    regions.put("gimpo", "gyeonggi");
    regions.put("anseong", "gyeonggi");
    regions.put(FAR_ZONE, "daegu");
    Zones zones = new Zones(regions, 0.1, 1.4, 8);
    List<Proxy> proxies = Collections.synchronizedList(new ArrayList<>());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> proxies.forEach(Proxy::close)));
    Store store = new Store(record);
    Map<String, String> proxyZones = new HashMap<>();
    Map<String, Database> databases = new LinkedHashMap<>();
    StringBuilder routes = new StringBuilder();
    StringBuilder services = new StringBuilder();
    for (int index = 0; index < SERVICES; index++) {
      String service = "orders" + index;
      Database database =
          new Database(
              new Database.Spec(service, 1, 16, 2, 16, 12, 3.8, 8, 300, zones),
              store,
              record,
              proxyZones);
      databases.put(service, database);
      database.add("i-" + index + "-p", "gimpo");
      database.add("i-" + index + "-a", "anseong");
      database.add("i-" + index + "-s", FAR_ZONE);
      routes.append(
          """
          %s{"Name":"r-%d","Host":"db%d","PathPrefix":"/","Type":"primary","TimeoutMs":800,
           "TargetLatencyMs":300,"Priority":1,"Service":"%s","Attempts":2}
          """
              .formatted(index == 0 ? "" : ",", index, index, service));
      services.append(
          """
          %s{"Name":"%s","HealthPath":"/health","MaxConnections":16,"Protocol":"h1","Tls":false,
           "SyncReplicas":1}
          """
              .formatted(index == 0 ? "" : ",", service));
    }
    store.promotions = (service, member) -> databases.get(service).promote(member);
    store.put(
        "config",
        "main",
        "{\"Version\":7,\"Routes\":[%s],\"Services\":[%s],\"Limits\":{\"TxIdleMs\":3000}}"
            .formatted(routes, services));
    for (int number = 1; number <= 2; number++) {
      Proxy proxy =
          new Proxy("front-" + FAR_ZONE + "-" + number, FAR_ZONE, "127.0.6." + number, zones, store, temporary);
      proxyZones.put(proxy.name, FAR_ZONE);
      proxies.add(proxy);
      proxy.start();
    }
    for (Proxy proxy : proxies) {
      if (!proxy.awaitReady(30_000)) {
        record.say("%s did not get ready; its log is in %s", proxy.name, temporary);
        System.exit(2);
      }
    }
    Thread.sleep(4000);

    Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    AtomicLong end = new AtomicLong(Long.MAX_VALUE);
    List<Thread> threads = new ArrayList<>();
    for (int index = 0; index < SERVICES; index++) {
      for (int session = 0; session < SESSIONS_PER_SERVICE; session++) {
        String host = "db" + index;
        String name = host + "-s" + session;
        Proxy proxy = proxies.get(session % proxies.size());
        threads.add(
            Thread.ofVirtual().start(() -> runSession(name, host, proxy, end, record, acknowledged)));
      }
    }
    Thread.sleep(2000);
    int handovers = 0;
    for (int round = 0; round < ROUNDS; round++) {
      for (Database database : databases.values()) {
        Member leaving = database.primary();
        if (!trouble) {
          Thread.sleep(1000);
          continue;
        }
        database.add(leaving.id + "n", leaving.zone);
        Thread.sleep(600);
        record.line("%s reports that it leaves", leaving.id);
        leaving.drain();
        for (int wait = 0; wait < 100 && database.primary() == leaving; wait++) {
          Thread.sleep(20);
        }
        handovers++;
        Database.later(
            DRAIN_MILLIS,
            () -> {
              record.line("%s ends", leaving.id);
              leaving.stop();
              database.remove(leaving);
            });
        Thread.sleep(200);
      }
    }
    Thread.sleep(500);
    end.set(0);
    for (Thread thread : threads) {
      thread.join(2000);
    }
    proxies.forEach(Proxy::close);
    int lost = 0;
    for (Database database : databases.values()) {
      for (Database.RolledBack rolledBack : database.rolledBack()) {
        for (String value : rolledBack.commit().values()) {
          if (acknowledged.contains(value)) {
            lost++;
            record.say(
                "LOST: %s was acknowledged as commit %d; it isn't in the log of %s, which was"
                    + " promoted",
                value, rolledBack.commit().number(), rolledBack.promoted());
          }
        }
      }
    }
    record.say(
        "%d commits acknowledged, %d primaries replaced, %d acknowledged commits lost",
        acknowledged.size(), handovers, lost);
    boolean ran = acknowledged.size() > 500 && (!trouble || handovers >= SERVICES);
    record.say(lost > 0 ? "LOST broken" : ran ? "rule held" : "too little ran");
    record.close();
    System.exit(lost > 0 ? 1 : ran ? 0 : 2);
  }

  private static void runSession(
      String name,
      String host,
      Proxy proxy,
      AtomicLong end,
      Record record,
      Set<String> acknowledged) {
    int operation = 0;
    while (System.nanoTime() < end.get()) {
      try (Caller caller = new Caller(proxy.callerAddress(), host)) {
        while (System.nanoTime() < end.get()) {
          String id = name + "-" + ++operation;
          Caller.Answer answer = caller.query(id, "WRITE item " + id);
          record.line("%s %s WRITE answered %s%s", proxy.name, id, answer.proof(), answer.error());
          if (answer.succeeded()) {
            acknowledged.add(id);
          } else if (!answer.state().equals("I")) {
            break;
          }
          Thread.sleep(ThreadLocalRandom.current().nextLong(10, 70));
        }
      } catch (IOException exception) {
        record.line("%s session ended: %s", name, exception.getMessage());
      } catch (InterruptedException exception) {
        return;
      }
    }
  }
}
