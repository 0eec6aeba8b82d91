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

/** A caller with a session that may roam between proxies. */
public final class Caller {

  /** The header that carries the session token. */
  private static final String SESSION = "Hickoryshed-Session";

  /** The default longest time to wait for an answer. */
  private static final Duration TIMEOUT = Duration.ofSeconds(15);

  /** The underlying caller. */
  private final JsonHttpClient http;

  /** The longest time to wait for an answer. */
  private final Duration timeout;

  /** The latest session token. */
  private volatile Optional<String> token = Optional.empty();

  /**
   * Creates a new caller.
   *
   * @param http The underlying caller.
   */
  public Caller(JsonHttpClient http) {
    this(http, TIMEOUT);
  }

  /**
   * Creates a new caller.
   *
   * @param http The underlying caller.
   * @param timeout The longest time to wait for an answer.
   */
  public Caller(JsonHttpClient http, Duration timeout) {
    this.http = http;
    this.timeout = timeout;
  }

  /**
   * Forgets the session token.
   *
   * @return This caller.
   */
  public Caller forgetToken() {
    token = Optional.empty();
    return this;
  }

  /**
   * Sends a statement.
   *
   * @param proxy The address of the proxy.
   * @param path The path of the resource.
   * @param request The request.
   * @return The answer.
   */
  public Answer send(String proxy, String path, Request request) {
    List<String> headers = new ArrayList<>();
    token.ifPresent(text -> headers.addAll(List.of(SESSION, text)));
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

  /**
   * Reads a reply.
   *
   * @param reply The reply.
   * @return The answer.
   */
  private Answer read(Response reply) {
    reply.headers().firstValue(SESSION).ifPresent(text -> token = Optional.of(text));
    Optional<JsonNode> body = reply.as(JsonNode.class).value();
    String detail = body.map(node -> node.path("detail").asText()).orElse("no body");
    // A stopping server refuses without a header before anything ran.
    String outcome =
        reply
            .headers()
            .firstValue("Hickoryshed-Outcome")
            .orElse(reply.status() == 503 ? "not-run" : "unknown");
    return new Answer(outcome, detail, body);
  }

  /**
   * A request.
   *
   * @param body The body.
   * @param key The idempotency key.
   * @param maxStaleSeconds The accepted age in seconds.
   */
  public record Request(
      JsonNode body,
      Optional<String> key,
      Optional<Integer> maxStaleSeconds,
      Optional<Integer> waitSeconds) {

    /**
     * Creates a request with a statement about one object.
     *
     * @param statement The name of the statement.
     * @param object The name of the object, which is also the partition.
     * @param value The value, empty for reads.
     * @return The request.
     */
    public static Request of(String statement, String object, String value) {
      ObjectNode body = Json.mapper().createObjectNode();
      body.put("statement", statement).put("partition", object);
      body.putObject("arguments").put("object", object).put("value", value);
      return new Request(body, Optional.empty(), Optional.empty(), Optional.empty());
    }

    /**
     * Sets the idempotency key.
     *
     * @param newKey The idempotency key.
     * @return The changed request.
     */
    public Request withKey(String newKey) {
      return new Request(body, Optional.of(newKey), maxStaleSeconds, waitSeconds);
    }

    /**
     * Sets the accepted age.
     *
     * @param seconds The accepted age in seconds.
     * @return The changed request.
     */
    public Request withMaxStale(int seconds) {
      return new Request(body, key, Optional.of(seconds), waitSeconds);
    }

    /**
     * Sets the cost of the statement.
     *
     * @param millis The cost in milliseconds.
     * @return The changed request.
     */
    public Request withCost(int millis) {
      ObjectNode changed = body.deepCopy();
      ((ObjectNode) changed.path("arguments")).put("cost", millis);
      return new Request(changed, key, maxStaleSeconds, waitSeconds);
    }

    /**
     * Sets the time after which the caller gives up.
     *
     * @param seconds The time in seconds.
     * @return The changed request.
     */
    public Request withWait(int seconds) {
      return new Request(body, key, maxStaleSeconds, Optional.of(seconds));
    }
  }

  /**
   * An answer.
   *
   * @param outcome The outcome: done, not-run or unknown.
   * @param detail What is known if the request is not done.
   * @param body The body.
   */
  public record Answer(String outcome, String detail, Optional<JsonNode> body) {

    /**
     * Checks if the request is done.
     *
     * @return {@code true} if the request is done.
     */
    public boolean isDone() {
      return outcome.equals("done");
    }

    /**
     * Returns the member that answered.
     *
     * @return The name of the member or an empty text.
     */
    public String member() {
      return body.map(node -> node.path("member").asText()).orElse("");
    }

    /**
     * Checks if a replica answered.
     *
     * @return {@code true} if a replica answered.
     */
    public boolean isByReplica() {
      return body.map(node -> node.path("replica").asBoolean()).orElse(false);
    }

    /**
     * Returns the values of the rows.
     *
     * @return The values.
     */
    public List<String> values() {
      return body.map(node -> node.path("rows").findValuesAsText("value")).orElse(List.of());
    }

    /**
     * Returns the transaction that was begun.
     *
     * @return The identifier of the transaction or an empty text.
     */
    public String transaction() {
      return body.map(node -> node.path("transaction").asText()).orElse("");
    }
  }
}
