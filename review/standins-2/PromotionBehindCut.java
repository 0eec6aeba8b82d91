import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Primaries are replaced as planned while one proxy is cut off from the other proxies.
 *
 * <p>Exits with 1 if an acknowledged commit is not in the log of the promoted member, 0 if all are,
 * and 2 if the case could not run.
 */
final class PromotionBehindCut extends Case {

  private static final int DATABASES = 32;

  private static final int WRITES_PER_SECOND = 40;

  /** The time for which the proxy is cut off. */
  private static final long CUT_MILLIS = 5500;

  private static final long DRAIN_MILLIS = 7000;

  private final Map<Database, Set<String>> acknowledged = new ConcurrentHashMap<>();

  private PromotionBehindCut() {}

  public static void main(String[] arguments) {
    run(new PromotionBehindCut(), arguments);
  }

  @Override
  int play() throws IOException, InterruptedException {
    try (Links links = new Links()) {
      return play(links);
    }
  }

  private int play(Links links) throws IOException, InterruptedException {
    platform.links = links;
    StringBuilder routes = new StringBuilder();
    StringBuilder services = new StringBuilder();
    List<Database.Member> leavers = new ArrayList<>();
    for (int number = 0; number < DATABASES; number++) {
      String service = "db-%02d".formatted(number);
      String comma = number == 0 ? "" : ",";
      routes.append(
          """
          %s{"Name":"r%d","Host":"host%d","Type":"primary","TimeoutMs":800,"TargetLatencyMs":300,
           "Priority":1,"Service":"%s"}
          """
              .formatted(comma, number, number, service));
      services.append(
          "%s{\"Name\":\"%s\",\"MaxConnections\":16,\"SyncReplicas\":1}"
              .formatted(comma, service));
      Database database = database(service, 1);
      acknowledged.put(database, ConcurrentHashMap.newKeySet());
      leavers.add(database.add("i-%02d-p".formatted(number), "gimpo", "127.0.2.1", 0, null));
      database.add("i-%02d-far".formatted(number), "seobu", "127.0.2.2", 0, null).lagMillis = 8;
      database.add("i-%02d-near".formatted(number), "anseong", "127.0.2.3", 0, null).lagMillis = 1;
    }
    platform.promoter =
        (service, id) ->
            databases.stream()
                .filter(database -> database.service.equals(service))
                .allMatch(database -> database.promote(id));
    platform.put(
        "config",
        "main",
        "{\"Version\":3,\"Routes\":[%s],\"Services\":[%s],\"Limits\":{\"TxIdleMs\":3000}}"
            .formatted(routes, services));
    if (!startProxies(List.of("gimpo", "seobu", "seobu", "seobu"))) {
      return NOT_RUN;
    }
    List<Thread> writers = new ArrayList<>();
    for (int number = 0; number < DATABASES; number++) {
      Database database = databases.get(number);
      String host = "host" + number;
      for (Proxy proxy : proxies) {
        int rate = proxy == proxies.get(0) ? WRITES_PER_SECOND : 4;
        writers.add(Thread.ofVirtual().start(() -> write(proxy, host, database, rate)));
      }
    }
    Thread.sleep(5000);
    if (trouble) {
      log.line(proxies.get(0).name + " is cut off from the other proxies");
      links.cut(proxies.get(0).peer);
    }
    Thread.sleep(500);
    leavers.forEach(leaver -> leaver.register("draining"));
    Thread.sleep(CUT_MILLIS - 500);
    links.cut(null);
    log.line("the cut has healed");
    Thread.sleep(DRAIN_MILLIS + 500 - CUT_MILLIS + 500);
    for (Database.Member leaver : leavers) {
      platform.remove("servers", leaver.id);
    }
    writers.forEach(Thread::interrupt);
    Thread.sleep(1000);
    int total = 0;
    int replaced = 0;
    int lost = 0;
    for (Database database : databases) {
      Set<String> missing = new HashSet<>(acknowledged.get(database));
      total += missing.size();
      replaced += database.primary().id.endsWith("-p") ? 0 : 1;
      missing.removeAll(database.values());
      lost += missing.size();
      if (!missing.isEmpty()) {
        log.line(
            "%s: %d acknowledged commits are not in the log of %s: %s"
                .formatted(database.service, missing.size(), database.primary().id, missing));
      }
    }
    log.line(
        "%d of %d primaries were replaced; %d of %d acknowledged commits are lost"
            .formatted(replaced, DATABASES, lost, total));
    if (replaced == 0 || total == 0) {
      return NOT_RUN;
    }
    return lost > 0 ? BROKEN : HELD;
  }

  private void write(Proxy proxy, String host, Database database, int rate) {
    int number = 0;
    while (!Thread.currentThread().isInterrupted()) {
      try (Client client = new Client(proxy.front, host, 3000)) {
        while (!Thread.currentThread().isInterrupted()) {
          String value = host + "-" + proxy.name + "-" + ++number;
          Client.Response response = client.query(value, "WRITE item " + value);
          if (response.isDone()) {
            acknowledged.get(database).add(value);
          } else {
            log.line(value + " -> " + response.outcome());
          }
          Thread.sleep(1000 / rate);
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
