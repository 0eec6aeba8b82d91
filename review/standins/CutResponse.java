import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Sessions of a read-your-writes route write and then read. For three seconds, the primary ends a
 * few of its connections in the middle of a response, behind the line DONE with the MAC.
 *
 * <p>The rule is broken if a read succeeds on a log that lacks a commit of its own session that was
 * acknowledged before the read was sent.
 */
final class CutResponse {

  private static final double CUT_SHARE = 0.05;
  private static final double CUT_SECONDS = 3.0;
  private static final int SESSIONS = 20;

  private CutResponse() {}

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !arguments[1].equals("0");
    Path temporary = Files.createTempDirectory("review");
    Record record = new Record(Path.of(arguments[0], "record.txt"));
    Map<String, String> regions = new LinkedHashMap<>();
    regions.put("hobart-a", "hobart");
    regions.put("hobart-b", "hobart");
    regions.put("launceston-a", "launceston");
    Zones zones = new Zones(regions, 0.1, 0.9, 8);
    List<Proxy> proxies = Collections.synchronizedList(new ArrayList<>());
    Runtime.getRuntime().addShutdownHook(new Thread(() -> proxies.forEach(Proxy::close)));
    Store store = new Store(record);
    Map<String, String> proxyZones = new HashMap<>();
    Database database =
        new Database(
            new Database.Spec("ledger", 0, 30, 2, 16, 27, 7.6, 60, 300, zones),
            store,
            record,
            proxyZones);
    store.promotions = (service, member) -> database.promote(member);
    database.add("i-a", "hobart-a");
    database.add("i-b", "hobart-b");
    database.add("i-c", "launceston-a");
    store.put(
        "config",
        "main",
        """
        {"Version":7,"Routes":[{"Name":"r-1","Host":"restock","PathPrefix":"/",
         "Type":"read_your_writes","TimeoutMs":800,"TargetLatencyMs":500,"Priority":2,
         "Service":"ledger","Attempts":2,"MaxStalenessMs":2500}],
         "Services":[{"Name":"ledger","HealthPath":"/health","MaxConnections":30,"Protocol":"h1",
         "Tls":false,"SyncReplicas":0}],
         "Limits":{"TxIdleMs":3000}}
        """);
    int number = 0;
    for (String zone : regions.keySet()) {
      number++;
      Proxy proxy =
          new Proxy("front-" + zone, zone, "127.0.5." + number, zones, store, temporary);
      proxyZones.put(proxy.name, zone);
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

    AtomicInteger reads = new AtomicInteger();
    AtomicInteger stale = new AtomicInteger();
    AtomicInteger writes = new AtomicInteger();
    AtomicLong end = new AtomicLong(System.nanoTime() + 10_000_000_000L);
    List<Thread> threads = new ArrayList<>();
    for (int index = 0; index < SESSIONS; index++) {
      Proxy proxy = proxies.get(index % proxies.size());
      String session = "s" + index;
      threads.add(
          Thread.ofVirtual()
              .start(() -> runSession(session, proxy, end, record, writes, reads, stale)));
    }
    Thread.sleep(3000);
    AtomicInteger cuts = new AtomicInteger();
    if (trouble) {
      Random random = new Random(7);
      record.say("the primary cuts %.0f%% of its responses to writes from now on", CUT_SHARE * 100);
      database.primary().cutBehindOutcome =
          text -> {
            boolean cut = text.startsWith("WRITE") && random.nextDouble() < CUT_SHARE;
            if (cut) {
              cuts.incrementAndGet();
            }
            return cut;
          };
      Thread.sleep((long) (CUT_SECONDS * 1000));
      database.primary().cutBehindOutcome = text -> false;
      record.say("no response is cut any more");
    }
    for (Thread thread : threads) {
      thread.join();
    }
    proxies.forEach(Proxy::close);
    record.say(
        "%d writes acknowledged, %d responses cut, %d reads served, %d of them stale",
        writes.get(), cuts.get(), reads.get(), stale.get());
    boolean ran = writes.get() > 100 && reads.get() > 100 && (!trouble || cuts.get() > 0);
    record.say(stale.get() > 0 ? "STALE broken" : ran ? "rule held" : "too few statements ran");
    record.close();
    System.exit(stale.get() > 0 ? 1 : ran ? 0 : 2);
  }

  private static void runSession(
      String name,
      Proxy proxy,
      AtomicLong end,
      Record record,
      AtomicInteger writes,
      AtomicInteger reads,
      AtomicInteger stale) {
    int operation = 0;
    while (System.nanoTime() - end.get() < 0) {
      // The last commit of this session that was acknowledged, and the id of its statement.
      long acknowledged = 0;
      String acknowledgedBy = "";
      try (Caller caller = new Caller(proxy.callerAddress(), "restock")) {
        while (System.nanoTime() - end.get() < 0) {
          operation++;
          String write = name + "-w" + operation;
          Caller.Answer written = caller.query(write, "WRITE item-" + name + " v" + operation);
          record.line("%s %s WRITE answered %s%s", proxy.name, write, written.proof(), written.error());
          if (!written.succeeded()) {
            if (!written.state().equals("I")) {
              break;
            }
          } else {
            writes.incrementAndGet();
            acknowledged = Member.RUNS.get(written.proof()).commit();
            acknowledgedBy = write;
          }
          String read = name + "-r" + operation;
          Caller.Answer answer = caller.query(read, "READ item-" + name);
          record.line(
              "%s %s READ answered %s%s %s", proxy.name, read, answer.proof(), answer.error(), answer.rows());
          if (answer.succeeded()) {
            reads.incrementAndGet();
            Member.Run run = Member.RUNS.get(answer.proof());
            if (run.visible() < acknowledged) {
              stale.incrementAndGet();
              record.say(
                  "STALE: %s ran at %s on a log of %d commits; the session's %s was acknowledged"
                      + " before as commit %d",
                  read, run.member(), run.visible(), acknowledgedBy, acknowledged);
            }
          } else if (!answer.state().equals("I")) {
            break;
          }
          Thread.sleep(ThreadLocalRandom.current().nextLong(50, 150));
        }
      } catch (IOException exception) {
        record.line("%s session ended: %s", name, exception.getMessage());
      } catch (InterruptedException exception) {
        return;
      }
    }
  }
}
