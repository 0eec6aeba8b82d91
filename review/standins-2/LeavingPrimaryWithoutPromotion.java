import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A primary is to be replaced as planned while the platform refuses promotions for some seconds.
 *
 * <p>Exits with 1 if a request reached the primary later than the drain period after the store
 * accepted that it is draining, 0 if none did, and 2 if the case could not run.
 */
final class LeavingPrimaryWithoutPromotion extends Case {

  private static final long DRAIN_MILLIS = 7000;

  /** The longest time in the site file for which a service of the platform is down. */
  private static final long OUTAGE_MILLIS = 9000;

  /** How long before the report of the primary the outage begins. */
  private static final long LEAD_MILLIS = 500;

  /** The time from the report of the primary to its end. */
  private static final long STAY_MILLIS = 12_000;

  private LeavingPrimaryWithoutPromotion() {}

  public static void main(String[] arguments) {
    run(new LeavingPrimaryWithoutPromotion(), arguments);
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
    Database.Member leaver = database.add("i-leaver", "gimpo", "127.0.2.1", 0, null);
    database.add("i-seobu", "seobu", "127.0.2.2", 0, null);
    database.add("i-anseong", "anseong", "127.0.2.3", 0, null);
    if (!startProxies(List.of("gimpo", "seobu", "anseong"))) {
      return NOT_RUN;
    }
    ConcurrentLinkedQueue<String> late = new ConcurrentLinkedQueue<>();
    leaver.onRun =
        (id, text) -> {
          long millis = (System.nanoTime() - leaver.drainingAt) / 1_000_000;
          if (leaver.drainingAt != 0 && millis > DRAIN_MILLIS) {
            late.add(id);
            log.line(
                "late: %s ran '%s' of request %s, %d ms after it reported that it is draining"
                    .formatted(leaver.id, text, id, millis));
          }
        };
    AtomicInteger served = new AtomicInteger();
    List<Thread> writers = new ArrayList<>();
    for (Proxy proxy : proxies) {
      writers.add(Thread.ofVirtual().start(() -> write(proxy, served)));
    }
    Thread.sleep(5000);
    if (trouble) {
      log.line("the platform refuses promotions");
      platform.promotionRefusal = 503;
    }
    Thread.sleep(LEAD_MILLIS);
    leaver.register("draining");
    Thread.sleep(OUTAGE_MILLIS - LEAD_MILLIS);
    log.line("the platform serves promotions");
    platform.promotionRefusal = 0;
    Thread.sleep(STAY_MILLIS - OUTAGE_MILLIS + LEAD_MILLIS);
    platform.remove("servers", leaver.id);
    database.end(leaver.id, "left as planned");
    Thread.sleep(2000);
    writers.forEach(Thread::interrupt);
    log.line(served.get() + " writes were served, " + late.size() + " reached the member too late");
    if (served.get() == 0) {
      return NOT_RUN;
    }
    return late.isEmpty() ? HELD : BROKEN;
  }

  private void write(Proxy proxy, AtomicInteger served) {
    int number = 0;
    while (!Thread.currentThread().isInterrupted()) {
      try (Client client = new Client(proxy.front, "orders", 3000)) {
        while (!Thread.currentThread().isInterrupted()) {
          String id = proxy.name + "-" + ++number;
          Client.Response response = client.query(id, "WRITE item " + id);
          log.line(id + " -> " + response.outcome());
          served.addAndGet(response.isDone() ? 1 : 0);
          Thread.sleep(50);
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
