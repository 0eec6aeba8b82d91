package org.hickoryshed.standin.platform;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.kernel.http.AdminHandler;
import org.hickoryshed.kernel.http.Exchanges;
import org.hickoryshed.kernel.http.HttpServer;
import org.hickoryshed.kernel.http.Problem;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.standin.fault.FaultInjectionHandler;
import org.hickoryshed.standin.fault.Faults;

/**
 * A simulated platform for demonstrations, experiments and tests: the object store and the VM list,
 * served over HTTP. It keeps everything in memory. Faults can be injected while it runs.
 */
public final class PlatformStandIn implements Service {

  /** The largest request body in bytes. */
  private static final int MAXIMUM_BODY = 1024 * 1024;

  /** The path prefix of objects. */
  private static final String OBJECTS = "/v1/entries/";

  private static final String VMS = "/v1/vms";

  /** The response header with the version of an object. */
  private static final HttpString VERSION = new HttpString("Version");

  private final ObjectStore store = new ObjectStore();

  private final AtomicReference<VmList> vmList;

  /** The number of handled requests, readable on the path {@code /v1/calls}. */
  private final LongAdder calls = new LongAdder();

  private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);

  private final FaultInjectionHandler faultInjection;

  private final HttpServer server;

  /**
   * Creates a platform with an empty store.
   *
   * @param address The address to listen on.
   * @param vmList The initial VM list.
   */
  public PlatformStandIn(InetSocketAddress address, VmList vmList) {
    this.vmList = new AtomicReference<>(vmList);
    faultInjection = new FaultInjectionHandler(faults, Map.of(), this::handle);
    server = new HttpServer(address, faultInjection);
  }

  @Override
  public void start() {
    server.start();
  }

  @Override
  public void stop() {
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
   * Returns the object store, for tests.
   *
   * @return The object store.
   */
  public ObjectStore store() {
    return store;
  }

  /**
   * Replaces the VM list.
   *
   * @param list The new VM list.
   */
  public void setVmList(VmList list) {
    vmList.set(list);
  }

  private void handle(HttpServerExchange exchange) throws InterruptedException {
    calls.increment();
    String path = exchange.getRequestPath();
    boolean put = exchange.getRequestMethod().equalToString("PUT");
    if (path.startsWith(OBJECTS)) {
      String name = path.substring(OBJECTS.length());
      if (put) {
        write(exchange, name);
      } else {
        read(exchange, name);
      }
    } else if (path.equals(VMS)) {
      serveVms(exchange, put);
    } else if (path.equals("/v1/calls")) {
      Exchanges.sendJson(exchange, 200, Map.of("calls", calls.sum()));
    } else {
      AdminHandler.sendNotFound(exchange);
    }
  }

  /**
   * Returns an object, or waits for a change of it if the request names a known version. Answers
   * 404 if the object does not exist, 304 if it did not change in time.
   */
  private void read(HttpServerExchange exchange, String name) throws InterruptedException {
    boolean watch = Exchanges.parameter(exchange, "known").isPresent();
    Optional<ObjectStore.StoredObject> object =
        watch
            ? store.watch(
                name, Exchanges.number(exchange, "known", 0), Exchanges.number(exchange, "wait", 0))
            : store.read(name);
    if (object.isEmpty()) {
      exchange.setStatusCode(watch ? 304 : 404);
      exchange.endExchange();
      return;
    }
    exchange.getResponseHeaders().put(VERSION, object.get().version());
    Exchanges.send(exchange, 200, "application/json", object.get().content());
  }

  /** Writes an object if its version matches the header {@code If-Match}; answers 412 otherwise. */
  private void write(HttpServerExchange exchange, String name) {
    long expected = Exchanges.header(exchange, "If-Match").map(Long::parseLong).orElse(-1L);
    switch (Exchanges.readBody(exchange, MAXIMUM_BODY)) {
      case Result.Failed<byte[], Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<byte[], Problem>(byte[] content) -> {
        boolean written = store.write(name, expected, content);
        if (written && faultInjection.shouldDropAnswer()) {
          FaultInjectionHandler.closeWithoutAnswer(exchange);
        } else {
          Exchanges.sendJson(exchange, written ? 200 : 412, Map.of("written", written));
        }
      }
    }
  }

  /** Returns or replaces the VM list. */
  private void serveVms(HttpServerExchange exchange, boolean replace) {
    if (!replace) {
      Exchanges.sendJson(exchange, 200, vmList.get());
      return;
    }
    switch (Exchanges.readJson(exchange, MAXIMUM_BODY, VmList.class)) {
      case Result.Failed<VmList, Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<VmList, Problem>(VmList list) -> {
        vmList.set(list);
        Exchanges.sendJson(exchange, 200, list);
      }
    }
  }
}
