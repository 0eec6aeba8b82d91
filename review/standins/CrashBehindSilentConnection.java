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
 * Clients write to a service with one synchronous replica. The idle connections to one replica have
 * gone silent. Later, the other replica receives nothing for a while and the primary crashes
 * meanwhile.
 *
 * <p>The rule is broken if a commit that was acknowledged to its client is not in the log of the
 * member that is promoted.
 */
final class CrashBehindSilentConnection {

  private static final long DEAF_MILLIS = 6000;
  private static final long CRASH_AFTER_MILLIS = 3000;

  private CrashBehindSilentConnection() {}

  public static void main(String[] arguments) throws Exception {
    boolean silent = arguments[1].equals("1");
    boolean crash = !arguments[1].equals("0");
    Path temporary = Files.createTempDirectory("review");
    Record record = new Record(Path.of(arguments[0], "record.txt"));
    Map<String, String> regions = new LinkedHashMap<>();
    regions.put("gimpo", "gyeonggi");
    regions.put("anseong", "gyeonggi");
    regions.put("seobu", "daegu");
    Zones zones = new Zones(regions, 0.1, 1.4, 8);
    List<Proxy> proxies = Collections.synchronizedList(new ArrayList<>());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> proxies.forEach(Proxy::close)));
    Store store = new Store(record);
    Map<String, String> proxyZones = new HashMap<>();
    Database database =
        new Database(
            new Database.Spec("orders", 1, 16, 2, 16, 12, 3.8, 8, 300, zones),
            store,
            record,
            proxyZones);
    Member primary = database.add("i-p", "gimpo");
    Member near = database.add("i-a", "anseong");
    Member far = database.add("i-s", "seobu");
    store.promotions = (service, member) -> database.promote(member);
    store.put(
        "config",
        "main",
        """
        {"Version":7,"Routes":[{"Name":"r-1","Host":"dealer","PathPrefix":"/","Type":"primary",
         "TimeoutMs":800,"TargetLatencyMs":300,"Priority":1,"Service":"orders","Attempts":2}],
         "Services":[{"Name":"orders","HealthPath":"/health","MaxConnections":16,"Protocol":"h1",
         "Tls":false,"SyncReplicas":1}],
         "Limits":{"TxIdleMs":3000}}
        """);
    Proxy proxy = new Proxy("front-gimpo-1", "gimpo", "127.0.7.1", zones, store, temporary);
    proxyZones.put(proxy.name, "gimpo");
    proxies.add(proxy);
    proxy.start();
    if (!proxy.awaitReady(30_000)) {
      record.say("%s did not get ready; its log is in %s", proxy.name, temporary);
      System.exit(2);
    }
    Thread.sleep(3000);
    Set<String> acknowledged = ConcurrentHashMap.newKeySet();
    AtomicLong end = new AtomicLong(Long.MAX_VALUE);
    List<Thread> threads = new ArrayList<>();
    for (int session = 0; session < 3; session++) {
      String name = "s" + session;
      threads.add(
          Thread.ofVirtual().start(() -> runSession(name, proxy, end, record, acknowledged)));
    }
    Thread.sleep(2000);
    if (silent) {
      record.say("the %d open connections to %s go silent", near.connections(), near.id);
      near.silenceOpenConnections();
    }
    Thread.sleep(5000);
    if (crash) {
      record.say("%s receives nothing from now on", far.id);
      far.deaf = true;
      Database.later(DEAF_MILLIS, () -> far.deaf = false);
    }
    Thread.sleep(CRASH_AFTER_MILLIS);
    if (crash) {
      record.say("%s crashes", primary.id);
      primary.stop();
    }
    Thread.sleep(4000);
    end.set(0);
    for (Thread thread : threads) {
      thread.join(2000);
    }
    proxies.forEach(Proxy::close);
    int lost = 0;
    for (Database.RolledBack rolledBack : database.rolledBack()) {
      for (String value : rolledBack.commit().values()) {
        if (acknowledged.contains(value)) {
          lost++;
          record.line(
              "LOST: %s was acknowledged as commit %d; it isn't in the log of %s, which was promoted",
              value, rolledBack.commit().number(), rolledBack.promoted());
        }
      }
    }
    boolean promoted = !crash || database.primary() != primary;
    record.say(
        "%d commits acknowledged, primary is %s, %d acknowledged commits lost",
        acknowledged.size(), database.primary().id, lost);
    boolean ran = acknowledged.size() > 100 && promoted;
    record.say(lost > 0 ? "LOST broken" : ran ? "rule held" : "too little ran");
    record.close();
    System.exit(lost > 0 ? 1 : ran ? 0 : 2);
  }

  private static void runSession(
      String name, Proxy proxy, AtomicLong end, Record record, Set<String> acknowledged) {
    int operation = 0;
    while (System.nanoTime() < end.get()) {
      try (Caller caller = new Caller(proxy.callerAddress(), "dealer")) {
        while (System.nanoTime() < end.get()) {
          String id = name + "-" + ++operation;
          Caller.Answer answer = caller.query(id, "WRITE item " + id);
          record.line("%s %s WRITE answered %s%s", proxy.name, id, answer.proof(), answer.error());
          if (answer.succeeded()) {
            acknowledged.add(id);
          } else if (!answer.state().equals("I")) {
            break;
          }
          Thread.sleep(ThreadLocalRandom.current().nextLong(20, 90));
        }
      } catch (IOException exception) {
        record.line("%s session ended: %s", name, exception.getMessage());
      } catch (InterruptedException exception) {
        return;
      }
    }
  }
}
