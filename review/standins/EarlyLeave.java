import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Peers open sessions, send the first part of a long statement and leave, for some seconds. Then
 * the usual clients come.
 *
 * <p>The rule is broken if not one of their requests is served, although the processes still run
 * and the peers have been gone for longer than RecoveryS.
 */
final class EarlyLeave {

  private static final int PEERS = 120;
  private static final double RUDE_SECONDS = 6.5;
  private static final int PART_BYTES = 300_000;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long TRAFFIC_SECONDS = 20;

  private EarlyLeave() {}

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
    for (int number = 1; number <= 2; number++) {
      Proxy proxy =
          new Proxy(
              "front-launceston-a-" + number,
              "launceston-a",
              "127.0.4." + number,
              zones,
              store,
              temporary);
      proxyZones.put(proxy.name, "launceston-a");
      proxies.add(proxy);
      proxy.start();
    }
    for (Proxy proxy : proxies) {
      if (!proxy.awaitReady(30_000)) {
        record.say("%s did not get ready; its log is in %s", proxy.name, temporary);
        System.exit(2);
      }
    }
    Thread.sleep(3000);
    if (trouble) {
      AtomicInteger left = new AtomicInteger();
      record.say("%d peers come, for %.1f s", PEERS, RUDE_SECONDS);
      long end = System.nanoTime() + (long) (RUDE_SECONDS * 1e9);
      List<Thread> peers = new ArrayList<>();
      for (int index = 0; index < PEERS; index++) {
        Proxy proxy = proxies.get(index % proxies.size());
        peers.add(Thread.ofPlatform().start(() -> sendPartsUntil(end, proxy, left)));
      }
      for (Thread peer : peers) {
        peer.join();
      }
      record.say("the peers are gone; they left %d sessions in the middle of a statement", left.get());
      Thread.sleep(RECOVERY_MILLIS);
    }
    AtomicInteger sent = new AtomicInteger();
    AtomicInteger served = new AtomicInteger();
    AtomicLong end = new AtomicLong(System.nanoTime() + TRAFFIC_SECONDS * 1_000_000_000L);
    List<Thread> clients = new ArrayList<>();
    for (int index = 0; index < 12; index++) {
      Proxy proxy = proxies.get(index % proxies.size());
      String name = "s" + index;
      clients.add(Thread.ofVirtual().start(() -> runClient(name, proxy, end, record, sent, served)));
    }
    for (Thread client : clients) {
      client.join();
    }
    int running = 0;
    for (Proxy proxy : proxies) {
      boolean alive = proxy.process().isAlive();
      String ready = readiness(proxy);
      record.say("%s: process %s, /v1/ready answers %s", proxy.name, alive ? "runs" : "ended", ready);
      if (alive) {
        running++;
      }
    }
    proxies.forEach(Proxy::close);
    record.say(
        "%d requests sent, %d served; %d proxies run", sent.get(), served.get(), running);
    boolean broken = served.get() == 0 && sent.get() >= 12;
    boolean ran = served.get() > sent.get() / 4;
    record.say(broken ? "no request is served" : ran ? "rule held" : "few requests were served");
    record.close();
    System.exit(broken ? 1 : 0);
  }

  /** Opens a session each second, sends the first part of a statement and leaves. */
  private static void sendPartsUntil(long end, Proxy proxy, AtomicInteger left) {
    byte[] part =
        ("QUERY 0 WRITE item " + "x".repeat(PART_BYTES)).getBytes(StandardCharsets.ISO_8859_1);
    while (System.nanoTime() - end < 0) {
      try (Socket socket = new Socket()) {
        Thread.sleep(ThreadLocalRandom.current().nextLong(1000));
        socket.connect(proxy.callerAddress(), 1000);
        socket.setSoTimeout(1000);
        socket.getOutputStream().write("START restock peer\r\n".getBytes());
        socket.getInputStream().read(new byte[64]);
        socket.getOutputStream().write(part);
        left.incrementAndGet();
        Thread.sleep(50);
      } catch (IOException exception) {
        // The proxy did not accept or answer.
      } catch (InterruptedException exception) {
        return;
      }
    }
  }

  private static void runClient(
      String name,
      Proxy proxy,
      AtomicLong end,
      Record record,
      AtomicInteger sent,
      AtomicInteger served) {
    int operation = 0;
    while (System.nanoTime() - end.get() < 0) {
      String id = name + "-" + ++operation;
      sent.incrementAndGet();
      // A session that gets no READY within 2 s is closed by its client.
      try (Caller caller = new Caller(proxy.callerAddress(), "restock", 2000)) {
        Caller.Answer answer = caller.query(id, "READ item");
        record.line("%s %s READ answered %s%s", proxy.name, id, answer.proof(), answer.error());
        if (answer.succeeded()) {
          served.incrementAndGet();
        }
        Thread.sleep(100);
      } catch (IOException exception) {
        record.line("%s %s not answered: %s", proxy.name, id, exception.getMessage());
      } catch (InterruptedException exception) {
        return;
      }
    }
  }

  private static String readiness(Proxy proxy) {
    try {
      HttpURLConnection call =
          (HttpURLConnection)
              URI.create("http://" + proxy.host + ":" + proxy.adminPort + "/v1/ready")
                  .toURL()
                  .openConnection();
      call.setConnectTimeout(1000);
      call.setReadTimeout(1000);
      return Integer.toString(call.getResponseCode());
    } catch (IOException exception) {
      return "nothing";
    }
  }
}
