import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.function.BiPredicate;

/** The platform's store and its promotion call, on one loopback address. */
final class Store implements AutoCloseable {

  private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

  private static final ObjectMapper JSON = new ObjectMapper();

  private final HttpServer server;
  private final Record record;
  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<String, Long> fences = new HashMap<>();
  private long revision = 1;

  /** Carries out a promotion (service, member); false if that member is not running. */
  volatile BiPredicate<String, String> promotions = (service, member) -> false;

  Store(Record record) throws IOException {
    this.record = record;
    server = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 256);
    server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    server.createContext("/v1/objects/", this::handleObjects);
    server.createContext("/promotion", this::handlePromotion);
    server.start();
  }

  String address() {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  synchronized void put(String kind, String name, String spec) {
    try {
      store(kind, name, JSON.readTree(spec));
    } catch (IOException exception) {
      throw new IllegalArgumentException(exception);
    }
  }

  synchronized void remove(String kind, String name) {
    ObjectNode removed = kinds.get(kind).remove(name);
    if (removed != null) {
      events.add(new Event(++revision, kind, removed, true));
      notifyAll();
    }
  }

  @Override
  public void close() {
    server.stop(0);
  }

  private ObjectNode store(String kind, String name, JsonNode spec) {
    ObjectNode known = kinds.computeIfAbsent(kind, key -> new TreeMap<>()).get(name);
    if (known != null && known.get("spec").equals(spec)) {
      return known;
    }
    ObjectNode object = JSON.createObjectNode();
    object.putObject("meta").put("Name", name).put("Revision", ++revision);
    object.set("spec", spec);
    kinds.get(kind).put(name, object);
    events.add(new Event(revision, kind, object, false));
    notifyAll();
    return object;
  }

  private void handleObjects(HttpExchange exchange) throws IOException {
    String[] parts =
        exchange.getRequestURI().getPath().substring("/v1/objects/".length()).split("/");
    String query = exchange.getRequestURI().getQuery();
    if (!exchange.getRequestMethod().equals("GET")) {
      write(exchange, parts);
    } else if (query != null && query.contains("Watch=")) {
      respond(exchange, 200, watch(parts[0], number(query, "Watch"), number(query, "WaitMs")));
    } else {
      respond(exchange, 200, list(parts[0]));
    }
  }

  private synchronized JsonNode list(String kind) {
    ObjectNode response = JSON.createObjectNode();
    ArrayNode items = response.putArray("items");
    kinds.getOrDefault(kind, new TreeMap<>()).values().forEach(items::add);
    return response.put("HasMore", false).put("StoreRevision", revision);
  }

  private synchronized JsonNode watch(String kind, long after, long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    try {
      while (events.stream().noneMatch(e -> e.revision > after && e.kind.equals(kind))) {
        long left = (end - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
          break;
        }
        wait(left);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    ObjectNode response = JSON.createObjectNode();
    ArrayNode found = response.putArray("events");
    events.stream()
        .filter(e -> e.revision > after && e.kind.equals(kind))
        .forEach(e -> found.addObject().put("Deleted", e.deleted).set("Object", e.object));
    return response.put("StoreRevision", revision);
  }

  private synchronized void write(HttpExchange exchange, String[] parts) throws IOException {
    JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
    JsonNode meta = body.path("meta");
    String name = meta.path("Name").asText();
    ObjectNode current = kinds.getOrDefault(parts[0], new TreeMap<>()).get(name);
    boolean creates = exchange.getRequestMethod().equals("POST");
    if (!creates && current == null) {
      respond(exchange, 404, JSON.createObjectNode());
      return;
    }
    boolean conflict =
        creates
            ? current != null
            : meta.has("Revision")
                && current.path("meta").path("Revision").asLong() != meta.path("Revision").asLong();
    if (conflict) {
      respond(exchange, 409, current);
    } else {
      respond(exchange, 200, store(parts[0], name, body.path("spec")));
    }
  }

  private void handlePromotion(HttpExchange exchange) throws IOException {
    JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
    String service = body.path("Service").asText();
    String member = body.path("Id").asText();
    long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
    String holder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
    boolean accepted;
    synchronized (this) {
      accepted = fence >= fences.getOrDefault(service, 0L);
      if (accepted) {
        fences.put(service, fence);
      }
    }
    accepted = accepted && promotions.test(service, member);
    record.line(
        "promotion of %s at %s by %s, fence %d: %s",
        member, service, holder, fence, accepted ? "200" : "409");
    respond(exchange, accepted ? 200 : 409, JSON.createObjectNode());
  }

  private static void respond(HttpExchange exchange, int status, JsonNode body)
      throws IOException {
    byte[] content = JSON.writeValueAsBytes(body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(status, content.length);
    exchange.getResponseBody().write(content);
    exchange.close();
  }

  private static long number(String query, String key) {
    for (String part : query.split("&")) {
      if (part.startsWith(key + "=")) {
        return Long.parseLong(part.substring(key.length() + 1));
      }
    }
    return 0;
  }
}
