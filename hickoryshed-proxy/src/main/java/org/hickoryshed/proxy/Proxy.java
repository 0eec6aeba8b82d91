package org.hickoryshed.proxy;

import java.time.Duration;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.client.platform.StoreClient;
import org.hickoryshed.client.platform.VmListClient;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.http.AdminHandler;
import org.hickoryshed.kernel.http.HttpServer;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.service.Kernel;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.settings.Addresses;
import org.hickoryshed.protocol.peer.PeerTransport;
import org.hickoryshed.proxy.document.ActiveDocuments;
import org.hickoryshed.proxy.document.DocumentUpdater;
import org.hickoryshed.proxy.frontend.CallerRequestHandler;
import org.hickoryshed.proxy.pooler.PoolerService;

/** A proxy: the entry, the poolers and the documents of one VM. */
public final class Proxy implements Service {

  /** The settings. */
  private final ProxySettings settings;

  /** The documents in force. */
  private final ActiveDocuments documents;

  /** The poolers. */
  private final PoolerService poolers;

  /** The server for callers. */
  private final HttpServer callers;

  /** The event recorder. */
  private final EventRecorder recorder;

  /** True while this proxy drains. */
  private volatile boolean draining;

  /**
   * Creates a new proxy out of the services of a kernel.
   *
   * @param kernel The kernel.
   * @param settings The settings.
   */
  private Proxy(Kernel kernel, ProxySettings settings) {
    this.settings = settings;
    documents = kernel.service("documents", ActiveDocuments.class);
    poolers = kernel.service("poolers", PoolerService.class);
    callers = kernel.service("callers", HttpServer.class);
    recorder = kernel.service("events", EventRecorder.class);
  }

  /**
   * Registers the services of a proxy.
   *
   * @param kernel The kernel.
   * @param settings The settings.
   * @return The proxy.
   */
  public static Proxy assemble(Kernel kernel, ProxySettings settings) {
    Metrics metrics = kernel.register("metrics", new Metrics());
    EventRecorder recorder = kernel.register("events", Daemon.newEventRecorder(settings.name()));
    JsonHttpClient caller =
        kernel.register("http", new JsonHttpClient(settings.peerAddress().getAddress()));
    ActiveDocuments documents =
        kernel.register("documents", new ActiveDocuments(recorder, metrics));
    MemberClient members = kernel.register("members", new MemberClient(caller));
    PoolerService poolers =
        kernel.register(
            "poolers", new PoolerService(settings, documents, members, metrics, recorder));
    PeerTransport peers =
        kernel.register(
            "peers",
            new PeerTransport(
                settings.peerAddress(),
                new PeerRequestHandler(documents, poolers),
                recorder,
                metrics));
    kernel.register(
        "document-feed",
        new DocumentUpdater(
            settings,
            documents,
            new StoreClient(caller, Addresses.write(settings.storeAddress())),
            new VmListClient(caller, Addresses.write(settings.vmListAddress())),
            peers,
            recorder));
    CallerRequestHandler entry =
        new CallerRequestHandler(settings, documents, peers, poolers, metrics);
    kernel.register("callers", new HttpServer(settings.callerAddress(), entry.handler()));
    Proxy proxy = kernel.register("proxy", new Proxy(kernel, settings));
    AdminHandler admin =
        new AdminHandler(
            metrics, recorder, proxy::isReady, proxy::status, AdminHandler::sendNotFound);
    kernel.register("admin", new HttpServer(settings.adminAddress(), admin));
    return proxy;
  }

  @Override
  public void start() {
    recorder.record("started", "domain", settings.domain());
  }

  @Override
  public void stop() {
    recorder.record("stopped", "quiet", poolers.isIdle());
  }

  /**
   * Hands the work of this proxy over and finishes what is in flight.
   *
   * @param poll The time between two looks at the poolers.
   */
  public void drain(Duration poll) {
    draining = true;
    recorder.record("draining", "delay", settings.drainDelay(), "bound", settings.drainBound());
    poolers.drain();
    long end = System.nanoTime() + settings.drainBound().toNanos();
    try {
      Thread.sleep(settings.drainDelay());
      boolean finished = callers.drain(settings.drainBound());
      while (!poolers.isIdle() && System.nanoTime() < end) {
        Thread.sleep(poll);
      }
      // The last answers are still on their way to other proxies.
      Thread.sleep(poll);
      recorder.record("drained", "finished", finished && poolers.isIdle());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Checks if this proxy accepts requests.
   *
   * @return {@code true} if this proxy has a configuration and does not drain.
   */
  private boolean isReady() {
    return !draining && documents.configuration().revision() > 0;
  }

  /**
   * Returns the status for operators.
   *
   * @return The status.
   */
  private ProxyStatus status() {
    return new ProxyStatus(
        settings.name(),
        settings.domain(),
        recorder.incarnation(),
        documents.configuration().revision(),
        documents.vmList().revision(),
        isReady(),
        poolers.statuses());
  }
}
