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
 * Parses requests of callers and resolves their routes and databases.
 *
 * @param documents The active configuration and VM list.
 * @param bodyLimit The largest body in bytes.
 */
record RequestParser(ActiveDocuments documents, int bodyLimit) {

  /** The header that carries the session token. */
  static final String SESSION_HEADER = "Hickoryshed-Session";

  /** The header that carries the idempotency key. */
  private static final String KEY_HEADER = "Idempotency-Key";

  /** The longest idempotency key in characters. */
  private static final int MAX_KEY_LENGTH = 255;

  /** The accepted age of data in a {@code Cache-Control} header, in seconds. */
  private static final Pattern MAX_STALE = Pattern.compile("max-stale=(\\d{1,6})");

  /** The time in a {@code Prefer} header for which the caller waits, in seconds. */
  private static final Pattern WAIT = Pattern.compile("wait=(\\d{1,4})");

  private static final int MILLIS_PER_SECOND = 1000;

  /**
   * Parses a request with a body.
   *
   * @param withStatement {@code true} if the body must hold a statement.
   * @return The request or the problem to respond with.
   */
  Result<CallerRequest, Problem> parse(HttpServerExchange exchange, boolean withStatement) {
    return switch (Exchanges.readJson(exchange, bodyLimit, Body.class)) {
      case Result.Failed<Body, Problem>(Problem problem) -> Result.failure(problem);
      case Result.Success<Body, Problem>(Body body) when withStatement && body.isIncomplete() ->
          malformed("malformed-body", "\"statement\" is missing or \"arguments\" is not an object");
      case Result.Success<Body, Problem>(Body body) ->
          resolve(exchange, body.partition().orElse(""), body.toStatement(withStatement));
    };
  }

  /**
   * Resolves the route and the database of a request and reads its headers.
   *
   * @param partition The partition that the caller named, empty if none.
   * @return The request or the problem to respond with.
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
      return Result.failure(Problem.notRun("unknown-route", 404, "unknown route " + name));
    }
    Pool pool = configuration.pool(route.get().pool()).orElseThrow();
    Optional<String> tokenText = Exchanges.header(exchange, SESSION_HEADER);
    Optional<SessionToken> token = tokenText.flatMap(SessionTokenCodec::decode);
    if (tokenText.isPresent() && token.isEmpty()) {
      return malformed("malformed-session", "the session token is malformed");
    }
    Optional<String> key = Exchanges.header(exchange, KEY_HEADER);
    if (key.filter(text -> text.isEmpty() || text.length() > MAX_KEY_LENGTH).isPresent()) {
      return malformed("malformed-key", "the idempotency key must have 1 to 255 characters");
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
   * Returns the age of data that a request accepts.
   *
   * @return The age in milliseconds or an empty optional if the header does not state one.
   */
  private static Optional<Integer> maxAge(HttpServerExchange exchange) {
    return Exchanges.header(exchange, "Cache-Control")
        .map(MAX_STALE::matcher)
        .filter(Matcher::find)
        .map(matcher -> Integer.parseInt(matcher.group(1)) * MILLIS_PER_SECOND);
  }

  /**
   * Returns the time in milliseconds after which a request expires: the timeout of the route or a
   * shorter one that the caller prefers.
   */
  private static int timeout(HttpServerExchange exchange, Route route) {
    return Exchanges.header(exchange, "Prefer")
        .map(WAIT::matcher)
        .filter(Matcher::find)
        .map(matcher -> Integer.parseInt(matcher.group(1)) * MILLIS_PER_SECOND)
        .map(wait -> Math.min(wait, route.timeoutMillis()))
        .orElse(route.timeoutMillis());
  }

  /**
   * Creates the failure of a malformed request.
   *
   * @param type The problem type.
   * @param detail What is wrong with the request.
   * @param <T> The type of the result that is missing.
   */
  private static <T> Result<T, Problem> malformed(String type, String detail) {
    return Result.failure(Problem.notRun(type, 400, detail));
  }

  /**
   * The JSON body of a request.
   *
   * @param statement The name of the statement.
   * @param arguments The arguments of the statement.
   * @param partition The partition that the statement concerns.
   */
  private record Body(
      Optional<String> statement, Optional<JsonNode> arguments, Optional<String> partition) {

    /** Checks if the statement is missing or its arguments are not a JSON object. */
    private boolean isIncomplete() {
      return statement.isEmpty() || arguments.filter(node -> !node.isObject()).isPresent();
    }

    /**
     * Returns the statement of this body.
     *
     * @param present {@code false} to ignore a statement.
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
