package org.hickoryshed.kernel.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Deque;
import java.util.Optional;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.kernel.result.Result;

/** Reads requests from Undertow exchanges and sends responses. */
public final class Exchanges {

  private Exchanges() {}

  /**
   * Reads the body of a request.
   *
   * @param exchange The exchange, dispatched to a thread that may block.
   * @param limit The largest accepted body in bytes.
   * @return The body, or the problem to respond with if it is larger or ends too early.
   */
  public static Result<byte[], Problem> readBody(HttpServerExchange exchange, int limit) {
    exchange.startBlocking();
    try {
      InputStream stream = exchange.getInputStream();
      byte[] body = stream.readNBytes(limit + 1);
      if (body.length > limit) {
        return Result.failure(
            Problem.notRun("body-too-large", 413, "the body exceeds " + limit + " bytes"));
      }
      return Result.success(body);
    } catch (IOException exception) {
      return Result.failure(
          Problem.notRun("body-incomplete", 400, "the body ended before its length"));
    }
  }

  /**
   * Reads the JSON body of a request.
   *
   * @param exchange The exchange, dispatched to a thread that may block.
   * @param limit The largest accepted body in bytes.
   * @param type The type of the value.
   * @param <T> The type of the value.
   * @return The value, or the problem to respond with if the body is too large, incomplete or
   *     malformed.
   */
  public static <T> Result<T, Problem> readJson(
      HttpServerExchange exchange, int limit, Class<T> type) {
    return switch (readBody(exchange, limit)) {
      case Result.Failed<byte[], Problem>(Problem problem) -> Result.failure(problem);
      case Result.Success<byte[], Problem>(byte[] body) ->
          switch (Json.read(body, type)) {
            case Result.Success<T, Json.Malformed>(T value) -> Result.success(value);
            case Result.Failed<T, Json.Malformed>(Json.Malformed malformed) ->
                Result.failure(Problem.notRun("malformed-body", 400, malformed.detail()));
          };
    };
  }

  /**
   * Responds with a value as JSON.
   *
   * @param exchange The exchange to end.
   * @param status The HTTP status code.
   * @param value The value to send.
   */
  public static void sendJson(HttpServerExchange exchange, int status, Object value) {
    send(exchange, status, "application/json", Json.write(value));
  }

  /**
   * Responds with problem details and their status code.
   *
   * @param exchange The exchange to end.
   * @param problem The problem.
   */
  public static void sendProblem(HttpServerExchange exchange, Problem problem) {
    send(exchange, problem.status(), "application/problem+json", Json.write(problem));
  }

  /**
   * Responds with bytes.
   *
   * @param exchange The exchange to end.
   * @param status The HTTP status code.
   * @param type The media type of the content.
   * @param content The content.
   */
  public static void send(HttpServerExchange exchange, int status, String type, byte[] content) {
    exchange.setStatusCode(status);
    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
    exchange.getResponseSender().send(ByteBuffer.wrap(content));
  }

  /**
   * Returns the first value of a request header.
   *
   * @param exchange The exchange.
   * @param name The name of the header.
   * @return The value or an empty optional if the header is missing.
   */
  public static Optional<String> header(HttpServerExchange exchange, String name) {
    return Optional.ofNullable(exchange.getRequestHeaders().getFirst(name));
  }

  /**
   * Returns the first value of a query parameter.
   *
   * @param exchange The exchange.
   * @param name The name of the parameter.
   * @return The value or an empty optional if the parameter is missing.
   */
  public static Optional<String> parameter(HttpServerExchange exchange, String name) {
    return Optional.ofNullable(exchange.getQueryParameters().get(name)).map(Deque::peekFirst);
  }

  /**
   * Returns a numeric query parameter.
   *
   * @param exchange The exchange.
   * @param name The name of the parameter.
   * @param fallback The value if the parameter is missing or not a number.
   * @return The value of the parameter.
   */
  public static long number(HttpServerExchange exchange, String name, long fallback) {
    try {
      return parameter(exchange, name).map(Long::parseLong).orElse(fallback);
    } catch (NumberFormatException exception) {
      return fallback;
    }
  }
}
