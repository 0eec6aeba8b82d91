package org.hickoryshed.load.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.kernel.result.Result;

/**
 * A client of proxies that behaves like an application. It keeps the session token of the latest
 * response and sends it with the next request, so that one session may change proxies between
 * requests.
 */
public final class Caller {

  private static final String SESSION_HEADER = "Hickoryshed-Session";

  /** The default timeout of a request. */
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  private final JsonHttpClient http;

  private final Duration timeout;

  /** The latest session token, empty before the first response that carries one. */
  private volatile Optional<String> token = Optional.empty();

  /**
   * Creates a caller without a session token and with the default timeout.
   *
   * @param http The HTTP client.
   */
  public Caller(JsonHttpClient http) {
    this(http, TIMEOUT);
  }

  /**
   * Creates a caller without a session token.
   *
   * @param http The HTTP client.
   * @param timeout The timeout of a request.
   */
  public Caller(JsonHttpClient http, Duration timeout) {
    this.http = http;
    this.timeout = timeout;
  }

  /**
   * Forgets the session token, so that the next request starts a new session.
   *
   * @return This caller.
   */
  public Caller forgetToken() {
    token = Optional.empty();
    return this;
  }

  /**
   * Sends a request and waits for the response.
   *
   * @param proxy The address of the proxy.
   * @param path The path of the resource.
   * @param request The request.
   * @return The answer; if there is no response, its outcome is {@code not-run} or {@code unknown}.
   */
  public Answer send(String proxy, String path, Request request) {
    List<String> headers = new ArrayList<>();
    token.ifPresent(text -> headers.addAll(List.of(SESSION_HEADER, text)));
    request.key().ifPresent(key -> headers.addAll(List.of("Idempotency-Key", key)));
    request
        .maxStaleSeconds()
        .ifPresent(age -> headers.addAll(List.of("Cache-Control", "max-stale=" + age)));
    request.waitSeconds().ifPresent(wait -> headers.addAll(List.of("Prefer", "wait=" + wait)));
    Result<Response, CallFailure> result =
        http.call("POST", proxy, path, request.body(), timeout, headers.toArray(String[]::new));
    return switch (result) {
      case Result.Failed<Response, CallFailure>(CallFailure.NotSent(String detail)) ->
          new Answer("not-run", detail, Optional.empty());
      case Result.Failed<Response, CallFailure>(CallFailure failure) ->
          new Answer("unknown", failure.toString(), Optional.empty());
      case Result.Success<Response, CallFailure>(Response reply) -> read(reply);
    };
  }

  /** Reads a response and keeps its session token. */
  private Answer read(Response reply) {
    reply.headers().firstValue(SESSION_HEADER).ifPresent(text -> token = Optional.of(text));
    Optional<JsonNode> body = reply.as(JsonNode.class).value();
    String detail = body.map(node -> node.path("detail").asText()).orElse("no body");
    // A server that is shutting down refuses requests with 503 and no outcome header, before it has
    // executed anything.
    String outcome =
        reply
            .headers()
            .firstValue("Hickoryshed-Outcome")
            .orElse(reply.status() == 503 ? "not-run" : "unknown");
    return new Answer(outcome, detail, body);
  }

  /**
   * A request to a proxy.
   *
   * @param body The body.
   * @param key The idempotency key, if any.
   * @param maxStaleSeconds The accepted age of the data in seconds, if any.
   * @param waitSeconds The time in seconds after which the proxy gives up, if any.
   */
  public record Request(
      JsonNode body,
      Optional<String> key,
      Optional<Integer> maxStaleSeconds,
      Optional<Integer> waitSeconds) {

    /**
     * Creates a request with a statement on one object.
     *
     * @param statement The name of the statement.
     * @param object The name of the object, which is also the partition.
     * @param value The value, an empty text for reads.
     * @return The request.
     */
    public static Request of(String statement, String object, String value) {
      ObjectNode body = Json.mapper().createObjectNode();
      body.put("statement", statement).put("partition", object);
      body.putObject("arguments").put("object", object).put("value", value);
      return new Request(body, Optional.empty(), Optional.empty(), Optional.empty());
    }

    /**
     * Returns a copy with an idempotency key.
     *
     * @param newKey The idempotency key.
     * @return The changed copy.
     */
    public Request withKey(String newKey) {
      return new Request(body, Optional.of(newKey), maxStaleSeconds, waitSeconds);
    }

    /**
     * Returns a copy that accepts data of some age.
     *
     * @param seconds The accepted age in seconds.
     * @return The changed copy.
     */
    public Request withMaxStale(int seconds) {
      return new Request(body, key, Optional.of(seconds), waitSeconds);
    }

    /**
     * Returns a copy whose statement takes some time at the stand-in.
     *
     * @param millis The execution time in milliseconds.
     * @return The changed copy.
     */
    public Request withCost(int millis) {
      ObjectNode changed = body.deepCopy();
      ((ObjectNode) changed.path("arguments")).put("cost", millis);
      return new Request(changed, key, maxStaleSeconds, waitSeconds);
    }

    /**
     * Returns a copy with a deadline.
     *
     * @param seconds The time in seconds after which the proxy gives up.
     * @return The changed copy.
     */
    public Request withWait(int seconds) {
      return new Request(body, key, maxStaleSeconds, Optional.of(seconds));
    }
  }

  /**
   * The outcome of a request.
   *
   * @param outcome The outcome: {@code done}, {@code not-run} or {@code unknown}.
   * @param detail The reason if the request is not done.
   * @param body The response body, empty without a response or if it is no JSON.
   */
  public record Answer(String outcome, String detail, Optional<JsonNode> body) {

    /**
     * Returns whether the request was executed.
     *
     * @return {@code true} if the outcome is {@code done}.
     */
    public boolean isDone() {
      return outcome.equals("done");
    }

    /**
     * Returns the member that executed the request.
     *
     * @return The name of the member, or an empty text if it is not known.
     */
    public String member() {
      return body.map(node -> node.path("member").asText()).orElse("");
    }

    /**
     * Returns whether a replica executed the request.
     *
     * @return {@code true} if the response names a replica.
     */
    public boolean isByReplica() {
      return body.map(node -> node.path("replica").asBoolean()).orElse(false);
    }

    /**
     * Returns the column {@code value} of the rows.
     *
     * @return The values, empty without a response.
     */
    public List<String> values() {
      return body.map(node -> node.path("rows").findValuesAsText("value")).orElse(List.of());
    }

    /**
     * Returns the transaction that the request began.
     *
     * @return The identifier of the transaction, or an empty text if none was begun.
     */
    public String transaction() {
      return body.map(node -> node.path("transaction").asText()).orElse("");
    }
  }
}
