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

/** The handler of the requests of callers. */
public final class CallerRequestHandler {

  /** The header that states the outcome. */
  private static final HttpString OUTCOME = new HttpString("Hickoryshed-Outcome");

  /** The header that carries the session token. */
  private static final HttpString SESSION = new HttpString(RequestParser.SESSION_HEADER);

  /** The milliseconds of a second. */
  private static final long SECOND = 1000;

  /** The parser of requests. */
  private final RequestParser parser;

  /** The way of reads. */
  private final ReadExecutor reads;

  /** The way of writes. */
  private final WriteExecutor writes;

  /** The metrics. */
  private final Metrics metrics;

  /**
   * Creates a new handler.
   *
   * @param settings The settings.
   * @param documents The documents in force.
   * @param peers The peers.
   * @param poolers The poolers of this process.
   * @param metrics The metrics.
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
    DatabaseStateCache locator = new DatabaseStateCache(forwarder);
    RetryBudget budget = new RetryBudget();
    MemberSelector choice = new MemberSelector(settings.domain(), settings.region());
    reads = new ReadExecutor(documents, forwarder, locator, choice, budget);
    writes = new WriteExecutor(forwarder, locator, budget);
  }

  /**
   * Returns the handler of all paths.
   *
   * @return The handler.
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
        .delete("/v1/routes/{route}/keys/{key}", this::cancel)
        .setFallbackHandler(AdminHandler::sendNotFound);
  }

  /**
   * Handles a statement that stands alone.
   *
   * @param exchange The exchange.
   */
  private void statement(HttpServerExchange exchange) {
    handle(exchange, parser.parse(exchange, true), this::runAlone);
  }

  /**
   * Runs a statement that stands alone.
   *
   * @param request The request.
   * @return The answer.
   */
  private Answer runAlone(CallerRequest request) {
    return switch (request.route().access()) {
      case READ -> {
        Outcome outcome = reads.execute(request);
        if (outcome instanceof Outcome.Done done) {
          String server = done.replica() ? "replica" : "primary";
          metrics.counter("reads_served", "by", server).inc();
        }
        yield new Answer(outcome, Optional.empty());
      }
      case WRITE ->
          new Answer(writes.execute(request, Work.Kind.WRITE).outcome(), Optional.empty());
    };
  }

  /**
   * Handles the begin of a transaction.
   *
   * @param exchange The exchange.
   */
  private void begin(HttpServerExchange exchange) {
    handle(
        exchange,
        parser.parse(exchange, false),
        request -> {
          if (request.route().access() != Route.Access.WRITE) {
            return notRun(Reason.REJECTED, "the route does not write");
          }
          Message.Executed executed = writes.execute(request, Work.Kind.BEGIN);
          return new Answer(executed.outcome(), executed.transaction());
        });
  }

  /**
   * Handles a statement or the end of a transaction.
   *
   * @param exchange The exchange.
   * @param kind The kind of the work.
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
                        new Answer(
                            writes.executeInTransaction(request, id, kind, commit), transaction))
                .orElseGet(() -> notRun(Reason.NO_TRANSACTION, "the identifier is malformed")));
  }

  /**
   * Handles the claim of an idempotency key as cancelled.
   *
   * @param exchange The exchange.
   */
  private void cancel(HttpServerExchange exchange) {
    String partition = Exchanges.parameter(exchange, "partition").orElse("");
    Optional<String> key = Exchanges.parameter(exchange, "key");
    handle(
        exchange,
        parser.resolve(exchange, partition, Optional.empty()).map(request -> request.withKey(key)),
        request ->
            new Answer(writes.execute(request, Work.Kind.WRITE).outcome(), Optional.empty()));
  }

  /**
   * Runs a parsed request and answers it.
   *
   * @param exchange The exchange.
   * @param parsed The request or the problem to answer with.
   * @param action The action that runs the request.
   */
  private void handle(
      HttpServerExchange exchange,
      Result<CallerRequest, Problem> parsed,
      Function<CallerRequest, Answer> action) {
    switch (parsed) {
      case Result.Failed<CallerRequest, Problem>(Problem problem) -> {
        metrics.counter("requests_malformed", "type", problem.title()).inc();
        exchange.getResponseHeaders().put(OUTCOME, problem.outcome());
        Exchanges.sendProblem(exchange, problem);
      }
      case Result.Success<CallerRequest, Problem>(CallerRequest request) -> {
        long start = System.nanoTime();
        Answer answer = action.apply(request);
        metrics.recordDuration("request", System.nanoTime() - start);
        send(exchange, request, answer);
      }
    }
  }

  /**
   * Sends an answer.
   *
   * @param exchange The exchange.
   * @param request The request.
   * @param answer The answer.
   */
  private void send(HttpServerExchange exchange, CallerRequest request, Answer answer) {
    switch (answer.outcome()) {
      case Outcome.Done done -> {
        count(exchange, "done");
        SessionToken token = request.token().orElse(SessionToken.EMPTY);
        if (answer.transaction().isEmpty() || request.statement().isEmpty()) {
          token = token.advance(request.database().name(), done.position());
        }
        exchange.getResponseHeaders().put(SESSION, SessionTokenCodec.encode(token));
        Exchanges.sendJson(exchange, 200, AnswerBody.of(done, answer.transaction()));
      }
      case Outcome.NotRun notRun -> {
        count(exchange, Problem.NOT_RUN);
        if (notRun.retryAfterMillis() > 0) {
          long seconds = Math.ceilDiv(notRun.retryAfterMillis(), SECOND);
          exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        Exchanges.sendProblem(exchange, OutcomeProblems.of(notRun));
      }
      case Outcome.Unknown unknown -> {
        count(exchange, Problem.UNKNOWN);
        Exchanges.sendProblem(exchange, OutcomeProblems.of(unknown));
      }
    }
  }

  /**
   * Counts and states an outcome.
   *
   * @param exchange The exchange.
   * @param outcome The outcome.
   */
  private void count(HttpServerExchange exchange, String outcome) {
    metrics.counter("requests", "outcome", outcome).inc();
    exchange.getResponseHeaders().put(OUTCOME, outcome);
  }

  /**
   * Answers that a request did not run.
   *
   * @param reason The reason.
   * @param detail What is known about the request.
   * @return The answer.
   */
  private static Answer notRun(Reason reason, String detail) {
    return new Answer(new Outcome.NotRun(reason, detail), Optional.empty());
  }

  /**
   * An answer to a request.
   *
   * @param outcome The outcome.
   * @param transaction The transaction that the request began or belongs to.
   */
  private record Answer(Outcome outcome, Optional<TransactionId> transaction) {}
}
