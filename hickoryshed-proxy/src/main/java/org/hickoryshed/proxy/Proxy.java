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
import org.hickoryshed.kernel.process.Descriptors;
import org.hickoryshed.kernel.service.Kernel;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.settings.Addresses;
import org.hickoryshed.protocol.peer.PeerTransport;
import org.hickoryshed.proxy.document.ActiveDocuments;
import org.hickoryshed.proxy.document.DocumentUpdater;
import org.hickoryshed.proxy.frontend.CallerRequestHandler;
import org.hickoryshed.proxy.pooler.PoolerService;

/**
 * The proxy process of one VM: the HTTP API for callers, the poolers and the documents, that is the
 * configuration and the VM list.
 */
public final class Proxy implements Service {

  private final ProxySettings settings;
  private final ActiveDocuments documents;
  private final PoolerService poolers;
  private final HttpServer callerServer;
  private final EventRecorder recorder;

  /** True once {@link #drain(Duration)} was called. */
  private volatile boolean draining;

  private Proxy(Kernel kernel, ProxySettings settings) {
    this.settings = settings;
    documents = kernel.service("documents", ActiveDocuments.class);
    poolers = kernel.service("poolers", PoolerService.class);
    callerServer = kernel.service("callers", HttpServer.class);
    recorder = kernel.service("events", EventRecorder.class);
  }

  /**
   * Creates and registers the services of a proxy, in the order in which they start.
   *
   * @return The proxy, which is registered, too.
   */
  public static Proxy assemble(Kernel kernel, ProxySettings settings) {
    Metrics metrics = kernel.register("metrics", new Metrics());
    EventRecorder recorder = kernel.register("events", Daemon.newEventRecorder(settings.name()));
    JsonHttpClient httpClient =
        kernel.register("http", new JsonHttpClient(settings.peerAddress().getAddress()));
    ActiveDocuments documents =
        kernel.register("documents", new ActiveDocuments(recorder, metrics));
    MemberClient memberClient = kernel.register("members", new MemberClient(httpClient));
    PoolerService poolers =
        kernel.register(
            "poolers", new PoolerService(settings, documents, memberClient, metrics, recorder));
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
            new StoreClient(httpClient, Addresses.write(settings.storeAddress())),
            new VmListClient(httpClient, Addresses.write(settings.vmListAddress())),
            peers,
            recorder));
    CallerRequestHandler requestHandler =
        new CallerRequestHandler(settings, documents, peers, poolers, metrics);
    kernel.register(
        "callers",
        new HttpServer(
            settings.callerAddress(), requestHandler.handler(), Descriptors.forSessions()));
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
   * Drains this proxy before it stops: refuses new work at the poolers, still accepts callers for
   * {@code drain.delay}, then waits up to {@code drain.bound} for what is in progress. Blocks the
   * calling thread.
   *
   * @param poll The time between two checks of the poolers.
   */
  public void drain(Duration poll) {
    draining = true;
    recorder.record("draining", "delay", settings.drainDelay(), "bound", settings.drainBound());
    poolers.drain();
    long end = System.nanoTime() + settings.drainBound().toNanos();
    try {
      Thread.sleep(settings.drainDelay());
      boolean finished = callerServer.drain(settings.drainBound());
      while (!poolers.isIdle() && System.nanoTime() < end) {
        Thread.sleep(poll);
      }
      // The last responses may still be in transit to other proxies.
      Thread.sleep(poll);
      recorder.record("drained", "finished", finished && poolers.isIdle());
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Checks if this proxy has a configuration and is not draining. */
  private boolean isReady() {
    return !draining && documents.configuration().revision() > 0;
  }

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
