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

/** A stand-in for the platform's object store and VM list, served over HTTP. */
public final class PlatformStandIn implements Service {

  /** The largest value in bytes. */
  private static final int VALUE_LIMIT = 1024 * 1024;

  /** The path of objects. */
  private static final String OBJECTS = "/v1/entries/";

  /** The path of the VM list. */
  private static final String VMS = "/v1/vms";

  /** The header that carries the version of an object. */
  private static final HttpString VERSION = new HttpString("Version");

  /** The objects. */
  private final ObjectStore store = new ObjectStore();

  /** The VM list. */
  private final AtomicReference<VmList> vms;

  /** The number of calls. */
  private final LongAdder calls = new LongAdder();

  /** The faults. */
  private final AtomicReference<Faults> faults = new AtomicReference<>(Faults.NONE);

  /** The handler that lets requests meet faults. */
  private final FaultInjectionHandler faulty;

  /** The server. */
  private final HttpServer server;

  /**
   * Creates a new stand-in.
   *
   * @param address The address to listen on.
   * @param vms The first VM list.
   */
  public PlatformStandIn(InetSocketAddress address, VmList vms) {
    this.vms = new AtomicReference<>(vms);
    faulty = new FaultInjectionHandler(faults, Map.of(), this::handle);
    server = new HttpServer(address, faulty);
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
   * Switches faults on.
   *
   * @param changed The faults.
   */
  public void setFaults(Faults changed) {
    faults.set(changed);
  }

  /**
   * Returns the objects, for the checks of tests.
   *
   * @return The objects.
   */
  public ObjectStore store() {
    return store;
  }

  /**
   * Replaces the VM list.
   *
   * @param list The VM list.
   */
  public void setVmList(VmList list) {
    vms.set(list);
  }

  /**
   * Handles a request.
   *
   * @param exchange The exchange.
   * @throws InterruptedException If a watch is interrupted.
   */
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
   * Reads or watches an object.
   *
   * @param exchange The exchange.
   * @param name The name of the object.
   * @throws InterruptedException If the watch is interrupted.
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

  /**
   * Writes an object.
   *
   * @param exchange The exchange.
   * @param name The name of the object.
   */
  private void write(HttpServerExchange exchange, String name) {
    long expected = Exchanges.header(exchange, "If-Match").map(Long::parseLong).orElse(-1L);
    switch (Exchanges.readBody(exchange, VALUE_LIMIT)) {
      case Result.Failed<byte[], Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<byte[], Problem>(byte[] content) -> {
        boolean written = store.write(name, expected, content);
        if (written && faulty.shouldDropAnswer()) {
          FaultInjectionHandler.closeWithoutAnswer(exchange);
        } else {
          Exchanges.sendJson(exchange, written ? 200 : 412, Map.of("written", written));
        }
      }
    }
  }

  /**
   * Reads or replaces the VM list.
   *
   * @param exchange The exchange.
   * @param replace {@code true} if the list is to be replaced.
   */
  private void serveVms(HttpServerExchange exchange, boolean replace) {
    if (!replace) {
      Exchanges.sendJson(exchange, 200, vms.get());
      return;
    }
    switch (Exchanges.readJson(exchange, VALUE_LIMIT, VmList.class)) {
      case Result.Failed<VmList, Problem>(Problem problem) ->
          Exchanges.sendProblem(exchange, problem);
      case Result.Success<VmList, Problem>(VmList list) -> {
        vms.set(list);
        Exchanges.sendJson(exchange, 200, list);
      }
    }
  }
}
