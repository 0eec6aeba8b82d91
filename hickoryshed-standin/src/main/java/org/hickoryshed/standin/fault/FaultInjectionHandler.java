package org.hickoryshed.standin.fault;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.hickoryshed.kernel.http.Exchanges;
import org.hickoryshed.kernel.http.Problem;
import org.hickoryshed.kernel.result.Result;

/**
 * Injects faults into the requests of a stand-in and lets clients change them on the path {@code
 * /v1/faults}. Requests without a fault are passed on.
 */
public final class FaultInjectionHandler implements HttpHandler {

  private static final String PATH = "/v1/faults";

  /** The largest body in bytes of a request that changes the faults. */
  private static final int BODY_LIMIT = 4096;

  /** The exit status of a halted process, the one of a process killed by SIGKILL. */
  private static final int EXIT_KILLED = 137;

  /** The time in milliseconds after which the connection of a partitioned client is closed. */
  private static final long PARTITION_MILLIS = 2_000;

  private final AtomicReference<Faults> faults;

  /** The simulated round trips in milliseconds by prefix of the source address. */
  private final Map<String, Integer> latencies;

  private final HttpHandler next;

  /**
   * Creates a handler.
   *
   * @param faults The current faults, shared with the stand-in.
   * @param latencies The simulated round trips in milliseconds by prefix of the source address.
   * @param next The handler of requests without a fault.
   */
  public FaultInjectionHandler(
      AtomicReference<Faults> faults, Map<String, Integer> latencies, HttpHandler next) {
    this.faults = faults;
    this.latencies = Map.copyOf(latencies);
    this.next = next;
  }

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    if (exchange.getRequestPath().equals(PATH)) {
      changeFaults(exchange);
      return;
    }
    Faults current = faults.get();
    String source = exchange.getSourceAddress().getAddress().getHostAddress();
    if (current.isCut(source)) {
      Thread.sleep(PARTITION_MILLIS);
      closeWithoutAnswer(exchange);
      return;
    }
    Thread.sleep(current.delayMillis() + latency(source));
    if (current.refuse()) {
      Exchanges.sendProblem(exchange, Problem.notRun("refused", 503, "refused by fault injection"));
      return;
    }
    next.handleRequest(exchange);
  }

  /**
   * Returns whether to drop the response to a request that has taken effect. Each call that returns
   * {@code true} uses up one of the configured number.
   *
   * @return {@code true} if the response is to be dropped.
   */
  public boolean shouldDropAnswer() {
    Faults before =
        faults.getAndUpdate(
            current ->
                current.dropAnswers() > 0
                    ? current.withDropAnswers(current.dropAnswers() - 1)
                    : current);
    return before.dropAnswers() > 0;
  }

  /**
   * Closes the connection of an exchange without a response.
   *
   * @param exchange The exchange.
   */
  public static void closeWithoutAnswer(HttpServerExchange exchange) {
    try {
      exchange.getConnection().close();
    } catch (IOException exception) {
      exchange.endExchange();
    }
  }

  /** Replaces the faults by those in the request body. */
  private void changeFaults(HttpServerExchange exchange) {
    switch (Exchanges.readJson(exchange, BODY_LIMIT, Faults.class)) {
      case Result.Failed<Faults, Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<Faults, Problem>(Faults changed) -> {
        if (changed.exit()) {
          Runtime.getRuntime().halt(EXIT_KILLED);
        }
        faults.set(changed);
        Exchanges.sendJson(exchange, 200, changed);
      }
    }
  }

  /** Returns the simulated round trip to a source in milliseconds, zero if no prefix matches. */
  private int latency(String source) {
    for (Map.Entry<String, Integer> entry : latencies.entrySet()) {
      if (source.startsWith(entry.getKey())) {
        return entry.getValue();
      }
    }
    return 0;
  }
}
