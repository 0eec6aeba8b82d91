package org.hickoryshed.dist;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.stream.IntStream;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.client.platform.StoreClient;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.json.Json;

/**
 * A cluster of the real binaries as processes on fixed loopback addresses: the platform stand-in,
 * and in each of three failure domains a member of one database, a failover process and a proxy.
 */
final class Cluster implements AutoCloseable {

  static final List<Integer> DOMAINS = List.of(1, 2, 3);
  static final String ORDERS = "/v1/routes/place-order";
  static final String STOCK = "/v1/routes/check-stock/statements";

  private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(90);
  private static final Duration TIMEOUT = Duration.ofSeconds(3);
  private static final String STORE = "127.0.11.100:7100";

  private final Path directory;
  private final Map<String, Process> processes = new HashMap<>();
  private final JsonHttpClient http = new JsonHttpClient(InetAddress.getLoopbackAddress());
  private final MemberClient members = new MemberClient(http);

  Cluster(Path directory) {
    this.directory = directory;
    start("platform", "standin.StandInMain", platformSettings());
    for (int domain : DOMAINS) {
      start("a-" + domain, "standin.StandInMain", memberSettings(domain));
      start("failover-" + domain, "failover.FailoverMain", failoverSettings(domain));
      startProxy(domain);
    }
    await(
        "the store answers",
        () -> store().read("configuration", Configuration.class, TIMEOUT).value().isPresent());
    write(configuration());
    await("each proxy is ready", () -> DOMAINS.stream().allMatch(this::isReady));
    await("a primary", () -> primary().isPresent());
  }

  void startProxy(int domain) {
    start("entry-" + domain, "proxy.ProxyMain", proxySettings(domain));
  }

  JsonHttpClient http() {
    return http;
  }

  StoreClient store() {
    return new StoreClient(http, STORE);
  }

  /**
   * Writes a configuration as the successor of the revision before it and returns whether the store
   * confirmed it.
   */
  boolean write(Configuration configuration) {
    return store()
        .write("configuration", configuration.revision() - 1, configuration, TIMEOUT)
        .value()
        .orElse(false);
  }

  String proxy(int domain) {
    return "127.0.1%d.1:8180".formatted(domain);
  }

  String memberAddress(int domain) {
    return "127.0.1%d.11:5500".formatted(domain);
  }

  Optional<MemberStatus> status(int domain) {
    return members.status(memberAddress(domain), Duration.ofSeconds(1)).value();
  }

  /**
   * Returns the failure domain of the primary with the highest term, empty if no member is primary.
   */
  Optional<Integer> primary() {
    Optional<Integer> found = Optional.empty();
    long term = 0;
    for (int domain : DOMAINS) {
      Optional<MemberStatus> status = status(domain);
      if (status.filter(MemberStatus::isPrimary).isPresent() && status.get().term() > term) {
        term = status.get().term();
        found = Optional.of(domain);
      }
    }
    return found;
  }

  boolean isReady(int domain) {
    return admin(domain, "/ready").filter(reply -> reply.status() == 200).isPresent();
  }

  long revision(int domain) {
    return admin(domain, "/status")
        .flatMap(reply -> reply.as(JsonNode.class).value())
        .map(node -> node.path("configurationRevision").asLong())
        .orElse(0L);
  }

  String metrics(int domain) {
    return admin(domain, "/metrics")
        .map(reply -> new String(reply.body(), StandardCharsets.UTF_8))
        .orElse("");
  }

  /** Sends a body as it is, even if it is malformed, and returns the body of the response. */
  JsonNode post(int domain, String path, String body, String... headers) {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://" + proxy(domain) + path))
            .POST(HttpRequest.BodyPublishers.ofString(body));
    if (headers.length > 0) {
      request.headers(headers);
    }
    try (HttpClient client = HttpClient.newHttpClient()) {
      byte[] answer = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray()).body();
      return Json.read(answer, JsonNode.class).value().orElseThrow();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      throw new AssertionError(exception);
    }
  }

  void faults(String address, Map<String, Object> faults) {
    http.call("POST", address, "/v1/faults", faults, TIMEOUT);
  }

  void storeFaults(Map<String, Object> faults) {
    faults(STORE, faults);
  }

  /** Sends a signal, such as {@code STOP} or {@code KILL}, to a process of this cluster. */
  void signal(String name, String signal) {
    try {
      new ProcessBuilder("kill", "-" + signal, String.valueOf(processes.get(name).pid()))
          .start()
          .waitFor();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  boolean hasExited(String name) {
    return !processes.get(name).isAlive();
  }

  int exitCode(String name) {
    return processes.get(name).exitValue();
  }

  /** Waits until a condition holds and fails with a description of it after the timeout. */
  void await(String what, BooleanSupplier condition) {
    long end = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new AssertionError("still waiting for " + what);
      }
      try {
        TimeUnit.MILLISECONDS.sleep(20);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        throw new AssertionError(exception);
      }
    }
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
  }

  static Configuration configuration() {
    List<Member> members =
        DOMAINS.stream()
            .map(
                domain ->
                    new Member(
                        "a-" + domain,
                        "127.0.1%d.11:5500".formatted(domain),
                        "domain-" + domain,
                        domain == 3 ? "daegu" : "gyeonggi"))
            .toList();
    Pool pool =
        new Pool(
            "orders", List.of(new Database("a", members)), 16, 2, Pool.Scheduling.SHORT_FIRST, 50);
    Route write =
        new Route(
            "place-order",
            "orders",
            Route.Access.WRITE,
            Route.Reads.REPLICAS,
            Optional.empty(),
            4_000,
            1);
    Route read =
        new Route(
            "check-stock",
            "orders",
            Route.Access.READ,
            Route.Reads.REPLICAS,
            Optional.empty(),
            4_000,
            1);
    return new Configuration(1, "test", List.of(write, read), List.of(pool));
  }

  private Optional<Response> admin(int domain, String path) {
    return http.call("GET", "127.0.1%d.1:8181".formatted(domain), path, null, TIMEOUT).value();
  }

  private void start(String name, String main, String settings) {
    try {
      Path file = Files.writeString(directory.resolve(name + ".toml"), settings);
      List<String> command = new ArrayList<>();
      command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
      command.addAll(
          List.of(
              "-Xmx64m",
              "-XX:+UseSerialGC",
              "-XX:TieredStopAtLevel=1",
              "-cp",
              System.getProperty("java.class.path"),
              "org.hickoryshed." + main,
              "--settings",
              file.toString()));
      processes.put(
          name,
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(directory.resolve(name + ".log").toFile())
              .start());
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  private static String platformSettings() {
    StringBuilder text =
        new StringBuilder("kind = \"platform\"\naddress = \"%s\"\n".formatted(STORE));
    for (int domain : DOMAINS) {
      text.append(
          """
          [vms.entry-%1$d]
          domain = "domain-%1$d"
          peer-address = "127.0.1%1$d.1:7101"
          failover-address = "127.0.1%1$d.1:7102"
          """
              .formatted(domain));
    }
    return text.toString();
  }

  private static String memberSettings(int domain) {
    return """
    kind = "member"
    name = "a-%1$d"
    address = "127.0.1%1$d.11:5500"
    connect-time = "5 ms"
    """
        .formatted(domain);
  }

  private static String proxySettings(int domain) {
    return """
    name = "entry-%1$d"
    domain = "domain-%1$d"
    region = "%2$s"
    caller-address = "127.0.1%1$d.1:8180"
    admin-address = "127.0.1%1$d.1:8181"
    peer-address = "127.0.1%1$d.1:7101"
    seed-peers = ["127.0.11.1:7101", "127.0.12.1:7101", "127.0.13.1:7101"]
    [platform]
    store = "%3$s"
    vm-list = "%3$s"
    [drain]
    delay = "1 s"
    """
        .formatted(domain, domain == 3 ? "daegu" : "gyeonggi", STORE);
  }

  private static String failoverSettings(int domain) {
    String proxies =
        String.join(
            ", ",
            IntStream.of(domain, 1, 2, 3).mapToObj("\"127.0.1%d.1:7101\""::formatted).toList());
    return """
    name = "entry-%1$d"
    domain = "domain-%1$d"
    peer-address = "127.0.1%1$d.1:7102"
    admin-address = "127.0.1%1$d.1:8182"
    proxies = [%2$s]
    """
        .formatted(domain, proxies);
  }
}
