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

/** A stand-in for a database member, served over HTTP. */
public final class MemberStandIn implements Service {

  /** The largest body in bytes. */
  private static final int BODY_LIMIT = 1024 * 1024;

  /** The time in milliseconds for which a replica waits for entries. */
  private static final long PULL_WAIT = 200;

  /** The largest number of entries in one answer to a replica. */
  private static final int PULL_LIMIT = 500;

  /** The path of connections. */
  private static final String CONNECTIONS = "/v1/connections";

  /** The state. */
  private final MemberState state;

  /** The runner of requests. */
  private final RequestRunner runner;

  /** The faults. */
  private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);

  /** The handler that lets requests meet faults. */
  private final FaultInjectionHandler faulty;

  /** The server. */
  private final HttpServer server;

  /** The caller of the primary. */
  private final JsonHttpClient caller;

  /** The duty that pulls entries from the primary. */
  private final PeriodicTask pulling;

  /** The duty that applies entries. */
  private final PeriodicTask applying;

  /**
   * Creates a new stand-in.
   *
   * @param name The name of the member.
   * @param address The address to listen on.
   * @param limits The limits.
   * @param latencies The latencies in milliseconds both ways by the prefixes of source addresses.
   */
  public MemberStandIn(
      String name, InetSocketAddress address, MemberLimits limits, Map<String, Integer> latencies) {
    state = new MemberState(name);
    runner = new RequestRunner(state, limits);
    faulty = new FaultInjectionHandler(faults, latencies, this::handle);
    server = new HttpServer(address, faulty);
    InetAddress source = address.getAddress();
    caller = new JsonHttpClient(source);
    pulling = new PeriodicTask("pull-" + name, Duration.ofMillis(1), this::pull);
    applying = new PeriodicTask("apply-" + name, Duration.ofMillis(2), this::apply);
  }

  @Override
  public void start() {
    server.start();
    pulling.start();
    applying.start();
  }

  @Override
  public void stop() {
    pulling.stop();
    applying.stop();
    server.stop();
  }

  /**
   * Switches faults on.
   *
   * @param changed The faults.
   */
  public void setFaults(Faults changed) {
    faults.set(changed);
  }

  /**
   * Returns the status.
   *
   * @return The status.
   */
  public MemberStatus status() {
    return state.status();
  }

  /**
   * Returns the applied values of an object, for the checks of tests.
   *
   * @param object The name of the object.
   * @return The values.
   */
  public List<String> values(String object) {
    synchronized (state) {
      return state.objects().values(object);
    }
  }

  /**
   * Handles a request.
   *
   * @param exchange The exchange.
   * @throws InterruptedException If the request is interrupted.
   */
  private void handle(HttpServerExchange exchange) throws InterruptedException {
    String path = exchange.getRequestPath();
    switch (path) {
      case "/v1/status" -> Exchanges.sendJson(exchange, 200, state.status());
      case "/v1/log" -> sendLog(exchange);
      case "/v1/seal" -> order(exchange, term -> state.seal(term.term()));
      case "/v1/promote" -> order(exchange, term -> state.promote(term.term()));
      case "/v1/follow" ->
          order(exchange, term -> state.follow(term.term(), term.primary(), term.address()));
      case CONNECTIONS -> connect(exchange);
      default -> {
        if (path.startsWith(CONNECTIONS + "/")) {
          onConnection(exchange, path.substring(CONNECTIONS.length() + 1));
        } else {
          AdminHandler.sendNotFound(exchange);
        }
      }
    }
  }

  /**
   * Opens a connection.
   *
   * @param exchange The exchange.
   * @throws InterruptedException If the set-up is interrupted.
   */
  private void connect(HttpServerExchange exchange) throws InterruptedException {
    Optional<String> connection = runner.connect();
    if (connection.isPresent()) {
      Exchanges.sendJson(exchange, 200, new MemberClient.Opened(connection.get()));
    } else {
      Exchanges.sendProblem(
          exchange, Problem.notRun("too-many-connections", 429, "the limit is reached"));
    }
  }

  /**
   * Handles a request on a connection.
   *
   * @param exchange The exchange.
   * @param rest The rest of the path.
   * @throws InterruptedException If the request is interrupted.
   */
  private void onConnection(HttpServerExchange exchange, String rest) throws InterruptedException {
    int slash = rest.indexOf('/');
    if (slash < 0) {
      runner.close(rest);
      Exchanges.sendJson(exchange, 200, Map.of());
      return;
    }
    switch (Exchanges.readJson(exchange, BODY_LIMIT, MemberRequest.class)) {
      case Result.Failed<MemberRequest, Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<MemberRequest, Problem>(MemberRequest request) -> {
        MemberAnswer answer = runner.run(rest.substring(0, slash), request);
        if (faulty.shouldDropAnswer()) {
          FaultInjectionHandler.closeWithoutAnswer(exchange);
        } else {
          Exchanges.sendJson(exchange, 200, answer);
        }
      }
    }
  }

  /**
   * Carries out an order of a term.
   *
   * @param exchange The exchange.
   * @param action The action, which tells whether the order was accepted.
   */
  private void order(HttpServerExchange exchange, OrderAction action) {
    switch (Exchanges.readJson(exchange, BODY_LIMIT, MemberClient.TermOrder.class)) {
      case Result.Failed<MemberClient.TermOrder, Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<MemberClient.TermOrder, Problem>(MemberClient.TermOrder order) -> {
        boolean accepted = action.accepts(order);
        Exchanges.sendJson(exchange, accepted ? 200 : 409, state.status());
      }
    }
  }

  /**
   * Sends entries to a replica.
   *
   * @param exchange The exchange.
   * @throws InterruptedException If the wait is interrupted.
   */
  private void sendLog(HttpServerExchange exchange) throws InterruptedException {
    MemberState.Follower follower =
        new MemberState.Follower(
            Exchanges.number(exchange, "term", 0),
            Exchanges.number(exchange, "held", 0),
            Exchanges.number(exchange, "lastTerm", 0),
            "");
    Exchanges.sendJson(exchange, 200, state.pull(follower, PULL_WAIT, PULL_LIMIT));
  }

  /** Pulls entries from the primary, if one is followed. */
  private void pull() {
    BooleanSupplier once = this::pullOnce;
    while (once.getAsBoolean()) {
      // Continues while the primary answers.
    }
  }

  /**
   * Pulls entries from the primary once.
   *
   * @return {@code true} if the primary answered.
   */
  private boolean pullOnce() {
    Optional<MemberState.Follower> following = state.follower();
    if (following.isEmpty()) {
      return false;
    }
    MemberState.Follower follower = following.get();
    String path =
        "/v1/log?term=%d&held=%d&lastTerm=%d"
            .formatted(follower.term(), follower.held(), follower.lastTerm());
    Duration timeout = Duration.ofMillis(PULL_WAIT * 3);
    Result<Response, CallFailure> reply =
        caller.call("GET", follower.address(), path, null, timeout);
    Optional<MemberState.Pulled> pulled =
        reply
            .value()
            .filter(answer -> answer.status() == 200)
            .flatMap(answer -> answer.as(MemberState.Pulled.class).value());
    if (pulled.isEmpty() || !pulled.get().accepted()) {
      return false;
    }
    if (pulled.get().truncateTo() >= 0) {
      state.truncate(follower.term(), pulled.get().truncateTo());
    }
    state.receive(
        follower.term(), follower.held(), pulled.get().entries(), System.currentTimeMillis());
    return true;
  }

  /** Applies the entries that were received before the lag. */
  private void apply() {
    state.applyReceived(System.currentTimeMillis() - faults.get().lagMillis());
  }

  /** An order of a term. */
  private interface OrderAction {

    /**
     * Carries the order out.
     *
     * @param order The order.
     * @return {@code true} if the order was accepted.
     */
    boolean accepts(MemberClient.TermOrder order);
  }
}
