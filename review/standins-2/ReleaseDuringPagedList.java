import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * A proxy is restarted while replicas are released, in a system whose list of members has several
 * pages.
 *
 * <p>Exits with 1 if a request reached a member later than the drain period after the store
 * accepted that it is draining, 0 if none did, and 2 if the case could not run.
 */
final class ReleaseDuringPagedList extends Case {

  private static final int DATABASES = 100;

  /** The objects of a page, as in the site files under discovery. */
  private static final int PAGE = 50;

  /** 4 ms an answer, and 1.4 ms one way between two zones. */
  private static final long CALL_MILLIS = 7;

  private static final long DRAIN_MILLIS = 7000;

  /** Added to the drain period before a request counts as late. */
  private static final long SLACK_MILLIS = 500;

  /** The time between two replicas of different databases that begin to drain. */
  private static final long GAP_MILLIS = 15;

  private ReleaseDuringPagedList() {}

  public static void main(String[] arguments) {
    run(new ReleaseDuringPagedList(), arguments);
  }

  @Override
  int play() throws IOException, InterruptedException {
    platform.pageSize = PAGE;
    platform.callMillis = CALL_MILLIS;
    StringBuilder routes = new StringBuilder();
    StringBuilder services = new StringBuilder();
    List<Database.Member> leavers = new ArrayList<>();
    for (int number = 0; number < DATABASES; number++) {
      String service = "db-%03d".formatted(number);
      routes.append(
          """
          %s{"Name":"r%d","Host":"%s","Type":"bounded_staleness","TimeoutMs":1500,
           "TargetLatencyMs":600,"Priority":1,"Service":"%s","MaxStalenessMs":1500}
          """
              .formatted(number == 0 ? "" : ",", number, "host" + number, service));
      services.append(
          "%s{\"Name\":\"%s\",\"MaxConnections\":16}".formatted(number == 0 ? "" : ",", service));
      Database database = database(service, 0);
      database.add("i-%03d-a".formatted(number), "gimpo", "127.0.2.1", 0, null);
      leavers.add(database.add("i-%03d-b".formatted(number), "seobu", "127.0.2.2", 0, null));
      database.add("i-%03d-c".formatted(number), "anseong", "127.0.2.3", 0, null);
    }
    platform.put(
        "config",
        "main",
        "{\"Version\":3,\"Routes\":[%s],\"Services\":[%s],\"Limits\":{\"TxIdleMs\":3000}}"
            .formatted(routes, services));
    List<String> zones = List.of("seobu", "gimpo", "anseong");
    if (!startProxies(zones)) {
      return NOT_RUN;
    }
    Thread.sleep(5000);
    Proxy restarted = proxies.get(0);
    if (trouble) {
      restarted.signal("TERM");
      if (!restarted.waitFor(7000)) {
        log.line("the proxy did not stop");
        return NOT_RUN;
      }
    }
    List<Database.Member> order = new ArrayList<>(leavers);
    Collections.shuffle(order);
    Thread release = Thread.ofVirtual().start(() -> release(order));
    if (trouble) {
      Thread.sleep(100);
      restarted.start();
      if (!restarted.awaitReady(10_000)) {
        log.line("the proxy did not get ready again");
        return NOT_RUN;
      }
    }
    release.join();
    ConcurrentLinkedQueue<String> late = new ConcurrentLinkedQueue<>();
    for (Database.Member leaver : leavers) {
      leaver.onRun =
          (id, text) -> {
            long millis = (System.nanoTime() - leaver.drainingAt) / 1_000_000;
            if (millis > DRAIN_MILLIS + SLACK_MILLIS) {
              late.add(id);
              log.line(
                  "late: %s ran '%s' of request %s, %d ms after it reported that it is draining"
                      .formatted(leaver.id, text, id, millis));
            }
          };
    }
    Thread.sleep(DRAIN_MILLIS);
    int served = 0;
    for (int round = 0; round < 6; round++) {
      for (int number = 0; number < DATABASES; number++) {
        served += read(restarted, number, round) ? 1 : 0;
      }
    }
    log.line(served + " reads were served, " + late.size() + " reached a member too late");
    if (served < DATABASES) {
      return NOT_RUN;
    }
    return late.isEmpty() ? HELD : BROKEN;
  }

  /** Lets the replicas report one after the other that they are draining. */
  private static void release(List<Database.Member> leavers) {
    for (Database.Member leaver : leavers) {
      leaver.register("draining");
      Platform.pause(GAP_MILLIS);
    }
  }

  private boolean read(Proxy proxy, int database, int round) {
    try (Client client = new Client(proxy.front, "host" + database, 3000)) {
      String id = "q%d-%d".formatted(round, database);
      Client.Response response = client.query(id, "READ item");
      if (!response.isDone()) {
        log.line(id + " -> " + response.outcome());
      }
      return response.isDone();
    } catch (IOException exception) {
      log.line("client: " + exception.getMessage());
      return false;
    }
  }
}
