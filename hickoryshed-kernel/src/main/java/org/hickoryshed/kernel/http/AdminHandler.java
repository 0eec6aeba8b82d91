package org.hickoryshed.kernel.http;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.metric.Metrics;

/**
 * Handles the requests of the admin port: {@code /metrics}, {@code /events}, {@code /live}, {@code
 * /ready} and {@code /status}. All other paths go to the operations of the process.
 *
 * @param metrics The metrics of the process.
 * @param recorder The event recorder of the process.
 * @param ready Returns whether the process accepts work; if not, {@code /ready} responds with 503.
 * @param status Returns the status of the process, sent as JSON.
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
   * Responds with 404 and the problem {@code unknown-path}.
   *
   * @param exchange The exchange to end.
   */
  public static void sendNotFound(HttpServerExchange exchange) {
    Exchanges.sendProblem(
        exchange, Problem.notRun("unknown-path", 404, "no resource " + exchange.getRequestPath()));
  }
}
