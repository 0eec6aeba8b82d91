package org.hickoryshed.standin.member;

import io.undertow.server.HttpServerExchange;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BooleanSupplier;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.client.member.MemberAnswer;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.client.member.MemberRequest;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.http.AdminHandler;
import org.hickoryshed.kernel.http.Exchanges;
import org.hickoryshed.kernel.http.HttpServer;
import org.hickoryshed.kernel.http.Problem;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.worker.PeriodicTask;
import org.hickoryshed.standin.fault.FaultInjectionHandler;
import org.hickoryshed.standin.fault.Faults;

/**
 * A simulated database member for demonstrations, experiments and tests, served over HTTP.
 *
 * <p>It takes part in the member protocol like a real one: it opens connections, executes
 * statements within its limits, replicates the log of the primary and obeys the orders seal,
 * promote and follow. It keeps everything in memory. Faults can be injected while it runs.
 */
public final class MemberStandIn implements Service {

  /** The largest request body in bytes. */
  private static final int MAXIMUM_BODY = 1024 * 1024;

  /** The time in milliseconds that a primary holds back a replication response without entries. */
  private static final long PULL_WAIT_MILLIS = 200;

  /** The largest number of entries in one replication response. */
  private static final int MAXIMUM_ENTRIES = 500;

  private static final String CONNECTIONS = "/v1/connections";

  private final MemberState state;

  private final RequestRunner runner;

  private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);

  private final FaultInjectionHandler faultInjection;

  private final HttpServer server;

  /** The client that pulls entries from the primary. */
  private final JsonHttpClient primaryClient;

  /** Replicates the log of the primary while this member is a replica. */
  private final PeriodicTask pullTask;

  /** Applies replicated entries once the simulated lag has passed. */
  private final PeriodicTask applyTask;

  /**
   * Creates a member with an empty log that follows no primary.
   *
   * @param name The name of the member.
   * @param address The address to listen on, also the source address of its own requests.
   * @param limits The simulated capacity.
   * @param latencies The simulated round trips in milliseconds by prefix of the source address.
   */
  public MemberStandIn(
      String name, InetSocketAddress address, MemberLimits limits, Map<String, Integer> latencies) {
    state = new MemberState(name);
    runner = new RequestRunner(state, limits);
    faultInjection = new FaultInjectionHandler(faults, latencies, this::handle);
    server = new HttpServer(address, faultInjection);
    InetAddress source = address.getAddress();
    primaryClient = new JsonHttpClient(source);
    pullTask = new PeriodicTask("pull-" + name, Duration.ofMillis(1), this::pull);
    applyTask = new PeriodicTask("apply-" + name, Duration.ofMillis(2), this::apply);
  }

  @Override
  public void start() {
    server.start();
    pullTask.start();
    applyTask.start();
  }

  @Override
  public void stop() {
    pullTask.stop();
    applyTask.stop();
    server.stop();
  }

  /**
   * Replaces the injected faults.
   *
   * @param changed The new faults.
   */
  public void setFaults(Faults changed) {
    faults.set(changed);
  }

  /**
   * Returns the status that probes see.
   *
   * @return The current status.
   */
  public MemberStatus status() {
    return state.status();
  }

  /**
   * Returns the applied values of an object, for tests.
   *
   * @param object The name of the object.
   * @return The values in the order of the log, empty if the object was never written.
   */
  public List<String> values(String object) {
    synchronized (state) {
      return state.objects().values(object);
    }
  }

  private void handle(HttpServerExchange exchange) throws InterruptedException {
    String path = exchange.getRequestPath();
    switch (path) {
      case "/v1/status" -> Exchanges.sendJson(exchange, 200, state.status());
      case "/v1/log" -> sendLog(exchange);
      case "/v1/seal" -> order(exchange, order -> state.seal(order.term()));
      case "/v1/promote" -> order(exchange, order -> state.promote(order.term()));
      case "/v1/follow" ->
          order(exchange, order -> state.follow(order.term(), order.primary(), order.address()));
      case CONNECTIONS -> connect(exchange);
      default -> {
        if (path.startsWith(CONNECTIONS + "/")) {
          handleOnConnection(exchange, path.substring(CONNECTIONS.length() + 1));
        } else {
          AdminHandler.sendNotFound(exchange);
        }
      }
    }
  }

  private void connect(HttpServerExchange exchange) throws InterruptedException {
    Optional<String> connection = runner.connect();
    if (connection.isPresent()) {
      Exchanges.sendJson(exchange, 200, new MemberClient.Opened(connection.get()));
    } else {
      Exchanges.sendProblem(
          exchange, Problem.notRun("too-many-connections", 429, "the connection limit is reached"));
    }
  }

  /**
   * Closes a connection or executes a request on it.
   *
   * @param exchange The exchange.
   * @param subpath The path after the prefix of connections: the identifier of a connection,
   *     followed by a slash if a request is to be executed.
   * @throws InterruptedException If the request is interrupted.
   */
  private void handleOnConnection(HttpServerExchange exchange, String subpath)
      throws InterruptedException {
    int slash = subpath.indexOf('/');
    if (slash < 0) {
      runner.close(subpath);
      Exchanges.sendJson(exchange, 200, Map.of());
      return;
    }
    switch (Exchanges.readJson(exchange, MAXIMUM_BODY, MemberRequest.class)) {
      case Result.Failed<MemberRequest, Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<MemberRequest, Problem>(MemberRequest request) -> {
        MemberAnswer answer = runner.run(subpath.substring(0, slash), request);
        if (faultInjection.shouldDropAnswer()) {
          FaultInjectionHandler.closeWithoutAnswer(exchange);
        } else {
          Exchanges.sendJson(exchange, 200, answer);
        }
      }
    }
  }

  /** Executes an order and answers with the status, 409 if the order was refused. */
  private void order(HttpServerExchange exchange, OrderAction action) {
    switch (Exchanges.readJson(exchange, MAXIMUM_BODY, MemberClient.TermOrder.class)) {
      case Result.Failed<MemberClient.TermOrder, Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<MemberClient.TermOrder, Problem>(MemberClient.TermOrder order) -> {
        boolean accepted = action.accepts(order);
        Exchanges.sendJson(exchange, accepted ? 200 : 409, state.status());
      }
    }
  }

  /** Answers the replication request of a replica. */
  private void sendLog(HttpServerExchange exchange) throws InterruptedException {
    MemberState.ReplicationRequest request =
        new MemberState.ReplicationRequest(
            Exchanges.number(exchange, "term", 0),
            Exchanges.number(exchange, "held", 0),
            Exchanges.number(exchange, "lastTerm", 0),
            "");
    Exchanges.sendJson(exchange, 200, state.pull(request, PULL_WAIT_MILLIS, MAXIMUM_ENTRIES));
  }

  /** Pulls entries from the primary as long as it delivers them. */
  private void pull() {
    BooleanSupplier once = this::pullOnce;
    while (once.getAsBoolean()) {
      // Continues as long as the primary accepts replication requests.
    }
  }

  /**
   * Sends one replication request to the primary and appends the entries that it returns.
   *
   * @return {@code true} if the primary accepted the request, {@code false} also if this member is
   *     no replica.
   */
  private boolean pullOnce() {
    Optional<MemberState.ReplicationRequest> next = state.replicationRequest();
    if (next.isEmpty()) {
      return false;
    }
    MemberState.ReplicationRequest request = next.get();
    String path =
        "/v1/log?term=%d&held=%d&lastTerm=%d"
            .formatted(request.term(), request.held(), request.lastTerm());
    Duration timeout = Duration.ofMillis(PULL_WAIT_MILLIS * 3);
    Result<Response, CallFailure> reply =
        primaryClient.call("GET", request.address(), path, null, timeout);
    Optional<MemberState.Pulled> pulled =
        reply
            .value()
            .filter(answer -> answer.status() == 200)
            .flatMap(answer -> answer.as(MemberState.Pulled.class).value());
    if (pulled.isEmpty() || !pulled.get().accepted()) {
      return false;
    }
    if (pulled.get().truncateTo() >= 0) {
      state.truncate(request.term(), pulled.get().truncateTo());
    }
    state.receive(
        request.term(), request.held(), pulled.get().entries(), System.currentTimeMillis());
    return true;
  }

  /** Applies the entries that were received longer ago than the injected replication lag. */
  private void apply() {
    state.applyReceived(System.currentTimeMillis() - faults.get().lagMillis());
  }

  /** An order to a member that is only accepted in a suitable term and role. */
  private interface OrderAction {

    /**
     * Executes the order unless it must be refused.
     *
     * @param order The order.
     * @return {@code true} if the order was executed.
     */
    boolean accepts(MemberClient.TermOrder order);
  }
}
