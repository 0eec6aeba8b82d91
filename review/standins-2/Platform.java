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

/**
 * A stand-in of the platform: the metadata store and, at an address of its own, the service that
 * promotes members.
 */
final class Platform implements AutoCloseable {

  private static final ObjectMapper JSON = new ObjectMapper();

  private final Log log;
  private final HttpServer store;
  private final HttpServer promotions;
  private final Map<String, TreeMap<String, ObjectNode>> kinds = new HashMap<>();
  private final List<Event> events = new ArrayList<>();
  private final Map<String, Long> fences = new HashMap<>();
  private long revision = 1;

  /** The most objects of one page of a list. */
  volatile int pageSize = 500;

  /** The most bytes of one page of a list; a page holds at least one object. */
  volatile int pageBytes = 1_000_000;

  /** The time that a call takes, in milliseconds. */
  volatile long callMillis = 4;

  /** The status with which the promotion service refuses all calls, zero while it serves them. */
  volatile int promotionRefusal;

  /** The links between the proxies, null if they reach each other directly. */
  volatile Links links;

  /** Promotes a member of a service; false if the member does not run. */
  volatile BiPredicate<String, String> promoter = (service, member) -> false;

  private record Event(long revision, String kind, ObjectNode object, boolean deleted) {}

  Platform(Log log) throws IOException {
    this.log = log;
    store = HttpServer.create(new InetSocketAddress("127.0.3.1", 0), 0);
    store.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    store.createContext("/v1/objects/", this::handleObjects);
    store.start();
    promotions = HttpServer.create(new InetSocketAddress("127.0.3.2", 0), 0);
    promotions.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
    promotions.createContext("/promotion", this::handlePromotion);
    promotions.start();
  }

  String storeAddress() {
    return "127.0.3.1:" + store.getAddress().getPort();
  }

  String promotionAddress() {
    return "127.0.3.2:" + promotions.getAddress().getPort();
  }

  /** Creates or replaces an object, as the operator or a member does. */
  synchronized void put(String kind, String name, String spec) {
    try {
      save(kind, name, JSON.readTree(spec));
    } catch (IOException exception) {
      throw new IllegalArgumentException(exception);
    }
  }

  synchronized void remove(String kind, String name) {
    ObjectNode removed = kinds.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (removed != null) {
      revision++;
      events.add(new Event(revision, kind, removed, true));
      notifyAll();
    }
  }

  private ObjectNode save(String kind, String name, JsonNode spec) {
    revision++;
    ObjectNode object = JSON.createObjectNode();
    object.putObject("meta").put("Name", name).put("Revision", revision);
    object.set("spec", spec);
    kinds.computeIfAbsent(kind, key -> new TreeMap<>()).put(name, object);
    events.add(new Event(revision, kind, object, false));
    notifyAll();
    return object;
  }

  private void handleObjects(HttpExchange exchange) throws IOException {
    try (exchange) {
      pause(callMillis / 2);
      byte[] body = exchange.getRequestBody().readAllBytes();
      String path = exchange.getRequestURI().getPath().substring("/v1/objects/".length());
      String[] parts = path.split("/");
      Map<String, String> query = query(exchange.getRequestURI().getQuery());
      Answer answer;
      if (!exchange.getRequestMethod().equals("GET")) {
        answer = write(exchange.getRequestMethod(), parts, JSON.readTree(body));
      } else if (parts.length > 1) {
        answer = read(parts[0], parts[1]);
      } else if (query.containsKey("Watch")) {
        answer =
            watch(parts[0], Long.parseLong(query.get("Watch")), Long.parseLong(query.get("WaitMs")));
      } else {
        answer = list(parts[0], query.getOrDefault("after", ""));
        log.line(
            "store list %s after '%s' for %s: %d objects, more %s, revision %d"
                .formatted(
                    parts[0],
                    query.getOrDefault("after", ""),
                    exchange.getRemoteAddress().getAddress().getHostAddress(),
                    answer.body.path("items").size(),
                    answer.body.path("HasMore").asBoolean(),
                    answer.body.path("StoreRevision").asLong()));
      }
      pause(callMillis / 2);
      respond(exchange, answer);
    }
  }

  private record Answer(int status, JsonNode body) {}

  private synchronized Answer read(String kind, String name) {
    ObjectNode found = kinds.getOrDefault(kind, new TreeMap<>()).get(name);
    return found == null ? new Answer(404, JSON.createObjectNode()) : new Answer(200, found);
  }

  private synchronized Answer list(String kind, String after) {
    ObjectNode response = JSON.createObjectNode();
    ArrayNode items = response.putArray("items");
    boolean more = false;
    int bytes = 0;
    for (ObjectNode object :
        kinds.getOrDefault(kind, new TreeMap<>()).tailMap(after, false).values()) {
      bytes += object.toString().length();
      if (!items.isEmpty() && (items.size() >= pageSize || bytes > pageBytes)) {
        more = true;
        break;
      }
      items.add(kind.equals("proxies") && links != null ? behindLink(object) : object);
    }
    response.put("HasMore", more).put("StoreRevision", revision);
    return new Answer(200, response);
  }

  /** Replaces the address that a proxy registered by that of the link to it. */
  private ObjectNode behindLink(ObjectNode registered) {
    String address = registered.path("spec").path("address").asText();
    int colon = address.indexOf(':');
    InetSocketAddress front =
        links.front(
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))));
    ObjectNode shown = registered.deepCopy();
    ((ObjectNode) shown.path("spec"))
        .put("address", front.getAddress().getHostAddress() + ":" + front.getPort());
    return shown;
  }

  private synchronized Answer watch(String kind, long after, long millis) {
    long end = System.nanoTime() + millis * 1_000_000;
    try {
      while (events.stream().noneMatch(event -> isAfter(event, kind, after))) {
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
        .filter(event -> isAfter(event, kind, after))
        .forEach(
            event -> found.addObject().put("Deleted", event.deleted).set("Object", event.object));
    response.put("StoreRevision", revision);
    return new Answer(200, response);
  }

  private static boolean isAfter(Event event, String kind, long after) {
    return event.revision > after && event.kind.equals(kind);
  }

  private synchronized Answer write(String method, String[] parts, JsonNode body) {
    JsonNode meta = body.path("meta");
    String name = parts.length > 1 ? parts[1] : meta.path("Name").asText();
    ObjectNode current = kinds.getOrDefault(parts[0], new TreeMap<>()).get(name);
    boolean conflict =
        method.equals("POST")
            ? current != null
            : meta.has("Revision")
                && current != null
                && current.path("meta").path("Revision").asLong()
                    != meta.path("Revision").asLong();
    if (conflict) {
      return new Answer(409, current);
    }
    if (!method.equals("POST") && current == null) {
      return new Answer(404, JSON.createObjectNode());
    }
    if (current != null && current.path("spec").equals(body.path("spec"))) {
      return new Answer(200, current);
    }
    log.line("store write " + parts[0] + "/" + name + " " + body.path("spec"));
    return new Answer(200, save(parts[0], name, body.path("spec")));
  }

  private void handlePromotion(HttpExchange exchange) throws IOException {
    try (exchange) {
      JsonNode body = JSON.readTree(exchange.getRequestBody().readAllBytes());
      String service = body.path("Service").asText();
      String member = body.path("Id").asText();
      String holder = exchange.getRequestHeaders().getFirst("X-Duty-Holder");
      long fence = Long.parseLong(exchange.getRequestHeaders().getFirst("X-Fence-Token"));
      pause(callMillis);
      int status = promotionRefusal;
      if (status == 0) {
        status = promote(service, member, fence) ? 200 : 409;
      }
      log.line(
          "promotion of %s in %s by %s, token %d: %d"
              .formatted(member, service, holder, fence, status));
      respond(exchange, new Answer(status, JSON.createObjectNode()));
    }
  }

  private synchronized boolean promote(String service, String member, long fence) {
    if (fence < fences.getOrDefault(service, 0L)) {
      return false;
    }
    fences.put(service, fence);
    return promoter.test(service, member);
  }

  private static void respond(HttpExchange exchange, Answer answer) throws IOException {
    byte[] content = JSON.writeValueAsBytes(answer.body);
    exchange.getResponseHeaders().set("Content-Type", "application/json");
    exchange.sendResponseHeaders(answer.status, content.length);
    exchange.getResponseBody().write(content);
  }

  private static Map<String, String> query(String text) {
    Map<String, String> fields = new HashMap<>();
    if (text != null) {
      for (String part : text.split("&")) {
        int equals = part.indexOf('=');
        fields.put(part.substring(0, equals), part.substring(equals + 1));
      }
    }
    return fields;
  }

  static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void close() {
    store.stop(0);
    promotions.stop(0);
  }
}
