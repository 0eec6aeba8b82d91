package org.hickoryshed.kernel.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.metric.Metrics;

/**
 * A handler of the admin port: metrics, events, liveness, readiness and status.
 *
 * @param metrics The metrics of the process.
 * @param recorder The event recorder of the process.
 * @param ready The source of the readiness.
 * @param status The source of the status.
 * @param operations The handler of all other paths.
 */
public record AdminHandler(
    Metrics metrics,
    EventRecorder recorder,
    BooleanSupplier ready,
    Supplier<?> status,
    HttpHandler operations)
    implements HttpHandler {

  @Override
  public void handleRequest(HttpServerExchange exchange) throws Exception {
    switch (exchange.getRequestPath()) {
      case "/metrics" -> Exchanges.send(exchange, 200, "text/plain", metrics.write());
      case "/events" -> Exchanges.sendJson(exchange, 200, recorder.events());
      case "/live" -> Exchanges.sendJson(exchange, 200, Map.of("live", true));
      case "/ready" -> {
        boolean value = ready.getAsBoolean();
        Exchanges.sendJson(exchange, value ? 200 : 503, Map.of("ready", value));
      }
      case "/status" -> Exchanges.sendJson(exchange, 200, status.get());
      default -> operations.handleRequest(exchange);
    }
  }

  /**
   * Answers that a path does not exist.
   *
   * @param exchange The exchange to end.
   */
  public static void sendNotFound(HttpServerExchange exchange) {
    Exchanges.sendProblem(
        exchange, Problem.notRun("unknown-path", 404, "no resource " + exchange.getRequestPath()));
  }
}
