import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients send short statements all the time. A desired state raises the time-out of their route.
 *
 * <p>The rule is broken if none of the requests of the last seconds is served.
 */
final class LongTimeout {

  private static final long TIMEOUT_MILLIS = 120_000;
  private static final int SESSIONS = 24;
  private static final long TRAFFIC_SECONDS = 100;
  private static final long LAST_SECONDS = 10;

  private LongTimeout() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !arguments[1].equals("0");
    Path temporary = Files.createTempDirectory("review");
    Record record = new Record(Path.of(arguments[0], "record.txt"));
    Zones zones = new Zones(Map.of("hobart-a", "hobart"), 0.1, 0.9, 8);
    List<Proxy> proxies = Collections.synchronizedList(new ArrayList<>());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> proxies.forEach(Proxy::close)));
    Store store = new Store(record);
    Map<String, String> proxyZones = new HashMap<>();
    Database database =
        new Database(
            new Database.Spec("ledger", 0, 30, 2, 16, 27, 2.5, 60, 300, zones),
            store,
            record,
            proxyZones);
    store.promotions = (service, member) -> database.promote(member);
    database.add("i-a", "hobart-a");
    database.add("i-b", "hobart-a");
    database.add("i-c", "hobart-a");
    String desired =
        """
        {"Version":%d,"Routes":[{"Name":"r-1","Host":"folio","PathPrefix":"/",
         "Type":"read_your_writes","TimeoutMs":%d,"TargetLatencyMs":300,"Priority":1,
         "Service":"ledger","Attempts":2,"MaxStalenessMs":2500}],
         "Services":[{"Name":"ledger","HealthPath":"/health","MaxConnections":30,"Protocol":"h1",
         "Tls":false,"SyncReplicas":0}],
         "Limits":{"TxIdleMs":3000}}
        """;
    store.put("config", "main", desired.formatted(7, 800));
    Proxy proxy = new Proxy("front-hobart-a-1", "hobart-a", "127.0.3.1", zones, store, temporary);
    proxyZones.put(proxy.name, "hobart-a");
    proxies.add(proxy);
    proxy.start();
    if (!proxy.awaitReady(30_000)) {
      record.say("%s did not get ready; its log is in %s", proxy.name, temporary);
      System.exit(2);
    }
    Thread.sleep(2000);
    long start = System.nanoTime();
    AtomicLong end = new AtomicLong(start + TRAFFIC_SECONDS * 1_000_000_000L);
    AtomicInteger[] sent = counters();
    AtomicInteger[] served = counters();
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < SESSIONS; index++) {
      String name = "s" + index;
      clients.add(
          Thread.ofVirtual()
              .start(() -> runClient(name, proxy, start, end, record, sent, served)));
    }
    Thread.sleep(3000);
    if (trouble) {
      record.say("version 9 raises the time-out to %d ms", TIMEOUT_MILLIS);
      store.put("config", "main", desired.formatted(9, TIMEOUT_MILLIS));
    }
    for (Thread client : clients) {
      client.join();
    }
    boolean alive = proxy.process().isAlive();
    proxies.forEach(Proxy::close);
    int lastSent = 0;
    int lastServed = 0;
    for (int second = 0; second < TRAFFIC_SECONDS; second++) {
      record.line("second %d: %d sent, %d served", second, sent[second].get(), served[second].get());
      if (second >= TRAFFIC_SECONDS - LAST_SECONDS) {
        lastSent += sent[second].get();
        lastServed += served[second].get();
      }
    }
    record.say(
        "last %d s: %d sent, %d served; the process %s",
        LAST_SECONDS, lastSent, lastServed, alive ? "runs" : "ended");
    boolean broken = lastServed == 0 && lastSent > 0;
    record.say(broken ? "no request is served any more" : "rule held");
    record.close();
    System.exit(broken ? 1 : 0);
  }

  private static AtomicInteger[] counters() {
    AtomicInteger[] counters = new AtomicInteger[(int) TRAFFIC_SECONDS + 10];
    for (int index = 0; index < counters.length; index++) {
      counters[index] = new AtomicInteger();
    }
    return counters;
  }

  private static void runClient(
      String name,
      Proxy proxy,
      long start,
      AtomicLong end,
      Record record,
      AtomicInteger[] sent,
      AtomicInteger[] served) {
    String data = "x".repeat(1000);
    int operation = 0;
    while (System.nanoTime() - end.get() < 0) {
      boolean opened = false;
      int attempt = (int) ((System.nanoTime() - start) / 1_000_000_000L);
      // A session that gets no READY within 2 s is closed by its client.
      try (Caller caller = new Caller(proxy.callerAddress(), "folio", 2000)) {
        opened = true;
        while (System.nanoTime() - end.get() < 0) {
          String id = name + "-" + ++operation;
          int second = (int) ((System.nanoTime() - start) / 1_000_000_000L);
          sent[second].incrementAndGet();
          Caller.Answer answer =
              caller.query(id, operation % 4 == 0 ? "WRITE item " + data : "READ item " + data);
          if (answer.succeeded()) {
            served[second].incrementAndGet();
          } else if (!answer.state().equals("I")) {
            break;
          }
        }
      } catch (IOException exception) {
        record.line("%s not answered: %s", name, exception.getMessage());
        if (!opened) {
          sent[attempt].incrementAndGet();
        }
      }
    }
  }
}
