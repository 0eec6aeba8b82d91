package org.hickoryshed.proxy.frontend;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.util.Optional;
import java.util.function.Function;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.route.MemberSelector;
import org.hickoryshed.decision.route.RetryBudget;
import org.hickoryshed.decision.session.SessionToken;
import org.hickoryshed.kernel.http.AdminHandler;
import org.hickoryshed.kernel.http.Exchanges;
import org.hickoryshed.kernel.http.Problem;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.peer.PeerTransport;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;
import org.hickoryshed.protocol.statement.SessionTokenCodec;
import org.hickoryshed.protocol.statement.TransactionId;
import org.hickoryshed.proxy.ProxySettings;
import org.hickoryshed.proxy.document.ActiveDocuments;
import org.hickoryshed.proxy.pooler.PoolerService;

/**
 * Serves the HTTP API for callers: statements, transactions and the cancellation of idempotency
 * keys.
 */
public final class CallerRequestHandler {

  /** Tells the caller whether the request is done, did not run or has an unknown outcome. */
  private static final HttpString OUTCOME_HEADER = new HttpString("Hickoryshed-Outcome");

  /** The session token that covers what the caller has written and read. */
  private static final HttpString SESSION_HEADER = new HttpString(RequestParser.SESSION_HEADER);

  private static final long MILLIS_PER_SECOND = 1000;

  private final RequestParser parser;
  private final ReadExecutor reads;
  private final WriteExecutor writes;
  private final Metrics metrics;

  /**
   * Creates a handler.
   *
   * @param settings The settings of this proxy.
   * @param documents The active configuration and VM list.
   * @param peers The transport to the poolers of other VMs.
   * @param poolers The poolers of this process.
   * @param metrics Counts requests, outcomes and durations.
   */
  public CallerRequestHandler(
      ProxySettings settings,
      ActiveDocuments documents,
      PeerTransport peers,
      PoolerService poolers,
      Metrics metrics) {
    this.metrics = metrics;
    parser = new RequestParser(documents, settings.bodyLimit());
    Forwarder forwarder = new Forwarder(settings, documents, peers, poolers, metrics);
    DatabaseStateCache stateCache = new DatabaseStateCache(forwarder);
    RetryBudget retryBudget = new RetryBudget();
    MemberSelector memberSelector = new MemberSelector(settings.domain(), settings.region());
    reads = new ReadExecutor(documents, forwarder, stateCache, memberSelector, retryBudget);
    writes = new WriteExecutor(forwarder, stateCache, retryBudget);
  }

  /**
   * Returns the HTTP handler of all paths. It blocks the thread of a request until the outcome is
   * known.
   */
  public HttpHandler handler() {
    String transaction = "/v1/routes/{route}/transactions/{transaction}";
    return Handlers.routing()
        .post("/v1/routes/{route}/statements", this::statement)
        .post("/v1/routes/{route}/transactions", this::begin)
        .post(
            transaction + "/statements", exchange -> inTransaction(exchange, Work.Kind.STEP, false))
        .post(transaction + "/commit", exchange -> inTransaction(exchange, Work.Kind.END, true))
        .post(transaction + "/rollback", exchange -> inTransaction(exchange, Work.Kind.END, false))
        .delete("/v1/routes/{route}/keys/{key}", this::cancelKey)
        .setFallbackHandler(AdminHandler::sendNotFound);
  }

  /** Handles a statement outside a transaction. */
  private void statement(HttpServerExchange exchange) {
    handle(exchange, parser.parse(exchange, true), this::runStatement);
  }

  /** Runs a statement outside a transaction. */
  private Response runStatement(CallerRequest request) {
    return switch (request.route().access()) {
      case READ -> {
        Outcome outcome = reads.execute(request);
        if (outcome instanceof Outcome.Done done) {
          String server = done.replica() ? "replica" : "primary";
          metrics.counter("reads_served", "by", server).inc();
        }
        yield new Response(outcome, Optional.empty());
      }
      case WRITE ->
          new Response(writes.execute(request, Work.Kind.WRITE).outcome(), Optional.empty());
    };
  }

  private void begin(HttpServerExchange exchange) {
    handle(
        exchange,
        parser.parse(exchange, false),
        request -> {
          if (request.route().access() != Route.Access.WRITE) {
            return notRun(Reason.REJECTED, "the route does not allow writes");
          }
          Message.Executed executed = writes.execute(request, Work.Kind.BEGIN);
          return new Response(executed.outcome(), executed.transaction());
        });
  }

  /**
   * Handles a statement or the end of an open transaction.
   *
   * @param commit {@code true} if the transaction is committed.
   */
  private void inTransaction(HttpServerExchange exchange, Work.Kind kind, boolean commit) {
    Optional<TransactionId> transaction =
        Exchanges.parameter(exchange, "transaction").flatMap(TransactionId::parse);
    Result<CallerRequest, Problem> parsed =
        kind == Work.Kind.STEP
            ? parser.parse(exchange, true)
            : parser.resolve(exchange, "", Optional.empty());
    handle(
        exchange,
        parsed,
        request ->
            transaction
                .map(
                    id ->
                        new Response(
                            writes.executeInTransaction(request, id, kind, commit), transaction))
                .orElseGet(
                    () ->
                        notRun(Reason.NO_TRANSACTION, "the transaction identifier is malformed")));
  }

  /**
   * Handles the cancellation of an idempotency key, after which no write with the key takes effect.
   */
  private void cancelKey(HttpServerExchange exchange) {
    String partition = Exchanges.parameter(exchange, "partition").orElse("");
    Optional<String> key = Exchanges.parameter(exchange, "key");
    handle(
        exchange,
        parser.resolve(exchange, partition, Optional.empty()).map(request -> request.withKey(key)),
        request ->
            new Response(writes.execute(request, Work.Kind.WRITE).outcome(), Optional.empty()));
  }

  /**
   * Runs a parsed request and sends the response.
   *
   * @param parsed The request or the problem to respond with.
   * @param action The action that runs the request.
   */
  private void handle(
      HttpServerExchange exchange,
      Result<CallerRequest, Problem> parsed,
      Function<CallerRequest, Response> action) {
    switch (parsed) {
      case Result.Failed<CallerRequest, Problem>(Problem problem) -> {
        metrics.counter("requests_malformed", "type", problem.title()).inc();
        exchange.getResponseHeaders().put(OUTCOME_HEADER, problem.outcome());
        Exchanges.sendProblem(exchange, problem);
      }
      case Result.Success<CallerRequest, Problem>(CallerRequest request) -> {
        long start = System.nanoTime();
        Response response = action.apply(request);
        metrics.recordDuration("request", System.nanoTime() - start);
        send(exchange, request, response);
      }
    }
  }

  /** Sends the response to a request that was run. */
  private void send(HttpServerExchange exchange, CallerRequest request, Response response) {
    switch (response.outcome()) {
      case Outcome.Done done -> {
        recordOutcome(exchange, "done");
        SessionToken token = request.token().orElse(SessionToken.EMPTY);
        if (response.transaction().isEmpty() || request.statement().isEmpty()) {
          token = token.advance(request.database().name(), done.position());
        }
        exchange.getResponseHeaders().put(SESSION_HEADER, SessionTokenCodec.encode(token));
        Exchanges.sendJson(exchange, 200, AnswerBody.of(done, response.transaction()));
      }
      case Outcome.NotRun notRun -> {
        recordOutcome(exchange, Problem.NOT_RUN);
        if (notRun.retryAfterMillis() > 0) {
          long seconds = Math.ceilDiv(notRun.retryAfterMillis(), MILLIS_PER_SECOND);
          exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        Exchanges.sendProblem(exchange, OutcomeProblems.of(notRun));
      }
      case Outcome.Unknown unknown -> {
        recordOutcome(exchange, Problem.UNKNOWN);
        Exchanges.sendProblem(exchange, OutcomeProblems.of(unknown));
      }
    }
  }

  /**
   * Counts an outcome and sets its response header.
   *
   * @param outcome The outcome as it is written in the header.
   */
  private void recordOutcome(HttpServerExchange exchange, String outcome) {
    metrics.counter("requests", "outcome", outcome).inc();
    exchange.getResponseHeaders().put(OUTCOME_HEADER, outcome);
  }

  /** Creates the response to a request that did not run. */
  private static Response notRun(Reason reason, String detail) {
    return new Response(new Outcome.NotRun(reason, detail), Optional.empty());
  }

  /**
   * The response to a request.
   *
   * @param outcome The outcome of the request.
   * @param transaction The transaction that the request began or belongs to, if any.
   */
  private record Response(Outcome outcome, Optional<TransactionId> transaction) {}
}
