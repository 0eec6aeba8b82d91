package org.hickoryshed.proxy.frontend;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.route.DatabaseSelector;
import org.hickoryshed.decision.session.SessionToken;
import org.hickoryshed.kernel.http.Exchanges;
import org.hickoryshed.kernel.http.Problem;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.protocol.statement.SessionTokenCodec;
import org.hickoryshed.protocol.statement.Statement;
import org.hickoryshed.proxy.document.ActiveDocuments;

/**
 * Parses requests of callers.
 *
 * @param documents The documents in force.
 * @param bodyLimit The largest body in bytes.
 */
record RequestParser(ActiveDocuments documents, int bodyLimit) {

  /** The header that carries the session token. */
  static final String SESSION_HEADER = "Hickoryshed-Session";

  /** The header that carries the idempotency key. */
  private static final String KEY_HEADER = "Idempotency-Key";

  /** The longest idempotency key. */
  private static final int KEY_LIMIT = 255;

  /** The accepted age in a {@code Cache-Control} header, in seconds. */
  private static final Pattern MAX_STALE = Pattern.compile("max-stale=(\\d{1,6})");

  /** The time-out in a {@code Prefer} header, in seconds. */
  private static final Pattern WAIT = Pattern.compile("wait=(\\d{1,4})");

  /** The milliseconds of a second. */
  private static final int SECOND = 1000;

  /**
   * Parses a request with a body.
   *
   * @param exchange The exchange.
   * @param withStatement {@code true} if the body must hold a statement.
   * @return The request or the problem to answer with.
   */
  Result<CallerRequest, Problem> parse(HttpServerExchange exchange, boolean withStatement) {
    return switch (Exchanges.readJson(exchange, bodyLimit, Body.class)) {
      case Result.Failed<Body, Problem>(Problem problem) -> Result.failure(problem);
      case Result.Success<Body, Problem>(Body body) when withStatement && body.isIncomplete() ->
          malformed("malformed-body", "\"statement\" is missing or \"arguments\" is no object");
      case Result.Success<Body, Problem>(Body body) ->
          resolve(exchange, body.partition().orElse(""), body.toStatement(withStatement));
    };
  }

  /**
   * Resolves the route and the database of a request.
   *
   * @param exchange The exchange.
   * @param partition The partition that the caller named.
   * @param statement The statement.
   * @return The request or the problem to answer with.
   */
  Result<CallerRequest, Problem> resolve(
      HttpServerExchange exchange, String partition, Optional<Statement> statement) {
    Configuration configuration = documents.configuration();
    if (configuration.revision() == 0) {
      return Result.failure(
          Problem.notRun("no-configuration", 503, "this proxy has no configuration yet"));
    }
    String name = Exchanges.parameter(exchange, "route").orElse("");
    Optional<Route> route = configuration.route(name);
    if (route.isEmpty()) {
      return Result.failure(Problem.notRun("unknown-route", 404, "no route " + name));
    }
    Pool pool = configuration.pool(route.get().pool()).orElseThrow();
    Optional<String> tokenText = Exchanges.header(exchange, SESSION_HEADER);
    Optional<SessionToken> token = tokenText.flatMap(SessionTokenCodec::decode);
    if (tokenText.isPresent() && token.isEmpty()) {
      return malformed("malformed-session", "the session token can't be read");
    }
    Optional<String> key = Exchanges.header(exchange, KEY_HEADER);
    if (key.filter(text -> text.isEmpty() || text.length() > KEY_LIMIT).isPresent()) {
      return malformed("malformed-key", "the idempotency key has 1 to 255 characters");
    }
    return Result.success(
        new CallerRequest(
            route.get(),
            DatabaseSelector.select(pool, partition),
            statement,
            key,
            token,
            maxAge(exchange).or(() -> route.get().maxAgeMillis()),
            System.currentTimeMillis() + timeout(exchange, route.get())));
  }

  /**
   * Returns the age that a request accepts.
   *
   * @param exchange The exchange.
   * @return The age in milliseconds or an empty optional.
   */
  private static Optional<Integer> maxAge(HttpServerExchange exchange) {
    return Exchanges.header(exchange, "Cache-Control")
        .map(MAX_STALE::matcher)
        .filter(Matcher::find)
        .map(matcher -> Integer.parseInt(matcher.group(1)) * SECOND);
  }

  /**
   * Returns the time in which a request is answered.
   *
   * @param exchange The exchange.
   * @param route The route.
   * @return The time-out of the route or the shorter time that the caller prefers.
   */
  private static int timeout(HttpServerExchange exchange, Route route) {
    return Exchanges.header(exchange, "Prefer")
        .map(WAIT::matcher)
        .filter(Matcher::find)
        .map(matcher -> Integer.parseInt(matcher.group(1)) * SECOND)
        .map(wait -> Math.min(wait, route.timeoutMillis()))
        .orElse(route.timeoutMillis());
  }

  /**
   * Returns the failure of a malformed request.
   *
   * @param type The type of the problem.
   * @param detail What is wrong with the request.
   * @param <T> The type of the value.
   * @return The failure.
   */
  private static <T> Result<T, Problem> malformed(String type, String detail) {
    return Result.failure(Problem.notRun(type, 400, detail));
  }

  /**
   * The body of a request.
   *
   * @param statement The name of the statement.
   * @param arguments The arguments of the statement.
   * @param partition The partition that the statement is about.
   */
  private record Body(
      Optional<String> statement, Optional<JsonNode> arguments, Optional<String> partition) {

    /**
     * Checks if this body lacks a statement.
     *
     * @return {@code true} if the statement is missing or its arguments are no object.
     */
    private boolean isIncomplete() {
      return statement.isEmpty() || arguments.filter(node -> !node.isObject()).isPresent();
    }

    /**
     * Returns the statement.
     *
     * @param present {@code true} if there is a statement.
     * @return The statement or an empty optional.
     */
    private Optional<Statement> toStatement(boolean present) {
      return statement
          .filter(name -> present)
          .map(
              name ->
                  new Statement(name, arguments.orElseGet(() -> Json.mapper().createObjectNode())));
    }
  }
}
