package org.hickoryshed.standin.fault;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.hickoryshed.kernel.http.Exchanges;
import org.hickoryshed.kernel.http.Problem;
import org.hickoryshed.kernel.result.Result;

/** A handler that lets requests meet the faults that are switched on. */
public final class FaultInjectionHandler implements HttpHandler {

  /** The path of the fault switches. */
  private static final String PATH = "/v1/faults";

  /** The largest body of a fault switch in bytes. */
  private static final int BODY_LIMIT = 4096;

  /** The exit code of a halted process. */
  private static final int HALTED = 137;

  /** The time in milliseconds for which a cut off request hangs. */
  private static final long CUT_HANG = 2_000;

  /** The faults. */
  private final AtomicReference<Faults> faults;

  /** The latencies in milliseconds both ways by the prefixes of source addresses. */
  private final Map<String, Integer> latencies;

  /** The handler of requests that meet no fault. */
  private final HttpHandler next;

  /**
   * Creates a new handler.
   *
   * @param faults The faults.
   * @param latencies The latencies in milliseconds both ways by the prefixes of source addresses.
   * @param next The handler of requests that meet no fault.
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
      change(exchange);
      return;
    }
    Faults current = faults.get();
    String source = exchange.getSourceAddress().getAddress().getHostAddress();
    if (current.isCut(source)) {
      Thread.sleep(CUT_HANG);
      closeWithoutAnswer(exchange);
      return;
    }
    Thread.sleep(current.delayMillis() + latency(source));
    if (current.refuse()) {
      Exchanges.sendProblem(exchange, Problem.notRun("refused", 503, "a fault is switched on"));
      return;
    }
    next.handleRequest(exchange);
  }

  /**
   * Returns whether the answer to an effect is to be lost, once for each switched number.
   *
   * @return {@code true} if the answer is to be lost.
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
   * Closes the connection of an exchange without an answer.
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

  /**
   * Changes the faults.
   *
   * @param exchange The exchange with the new faults.
   */
  private void change(HttpServerExchange exchange) {
    switch (Exchanges.readJson(exchange, BODY_LIMIT, Faults.class)) {
      case Result.Failed<Faults, Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<Faults, Problem>(Faults changed) -> {
        if (changed.exit()) {
          Runtime.getRuntime().halt(HALTED);
        }
        faults.set(changed);
        Exchanges.sendJson(exchange, 200, changed);
      }
    }
  }

  /**
   * Returns the latency of a source.
   *
   * @param source The source address.
   * @return The latency in milliseconds both ways.
   */
  private int latency(String source) {
    for (Map.Entry<String, Integer> entry : latencies.entrySet()) {
      if (source.startsWith(entry.getKey())) {
        return entry.getValue();
      }
    }
    return 0;
  }
}
