package org.hickoryshed.session.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.function.ToIntFunction;
import java.util.random.RandomGenerator;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.quota.FleetQuota;
import org.hickoryshed.decision.quota.FleetView;
import org.hickoryshed.decision.quota.QuotaBounds;
import org.hickoryshed.decision.quota.QuotaGranter;
import org.hickoryshed.decision.quota.QuotaPlan;
import org.hickoryshed.decision.quota.WorkspaceQuota;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;

/**
 * Admits the operations of workspaces with tokens that proxies grant each other by datagrams.
 *
 * <p>The decisions are made by {@link FleetQuota}; this class carries its messages and times. All
 * methods run on the event loop unless they say otherwise.
 */
public final class QuotaExchange implements WorkspaceQuota {

  /**
   * The time after which a holder of tokens that did not answer is passed over, in milliseconds.
   */
  private static final long REQUEST_TIMEOUT_MILLIS = 60;

  private static final long TIDY_INTERVAL_MILLIS = 1000;

  private final EventLoop loop;

  private final PeerNetwork peers;

  private final QuotaBounds bounds;

  private final Supplier<DesiredState> desired;

  private final QuotaTelemetry telemetry;

  private final FleetView fleet;

  private final FleetQuota quota;

  /** The runs of the other proxies that were heard last, by the names of the proxies. */
  private final Map<String, String> boots = new HashMap<>();

  /** The plans of the workspaces in use under {@link #planned}. */
  private final Map<String, Optional<QuotaPlan>> plans = new HashMap<>();

  private DesiredState planned = DesiredState.NONE;

  /** The workspaces with state here, for the gauge. */
  private volatile int size;

  /**
   * Creates an exchange that is not started.
   *
   * @param loop The event loop that owns the exchange.
   * @param self The name of this proxy.
   * @param peers The network of the other proxies.
   * @param distance Returns how far away another proxy is.
   * @param bounds The bounds of the deployment.
   * @param desired Returns the desired state in force.
   * @param log The event log.
   * @param metrics The metrics of this process.
   */
  public QuotaExchange(
      EventLoop loop,
      String self,
      PeerNetwork peers,
      ToIntFunction<String> distance,
      QuotaBounds bounds,
      Supplier<DesiredState> desired,
      EventLog log,
      Metrics metrics) {
    this.loop = loop;
    this.peers = peers;
    this.bounds = bounds;
    this.desired = desired;
    telemetry = new QuotaTelemetry(log, metrics);
    fleet = new FleetView(self, System.nanoTime());
    quota =
        new FleetQuota(
            self,
            fleet,
            this::plan,
            distance,
            new DatagramPort(),
            RandomGenerator.getDefault().nextLong(Long.MAX_VALUE / 2));
    metrics.registerGauge("quota_workspaces", () -> size);
  }

  /** Starts the periodic work; called before the event loop is started. */
  public void start() {
    loop.scheduleEvery(TIDY_INTERVAL_MILLIS, this::tidy);
  }

  /**
   * Records that the directory names a proxy, this one included; may be called by any thread.
   *
   * @param name The name of the proxy.
   */
  public void addProxy(String name) {
    loop.submit(() -> fleet.onNamed(name, System.nanoTime()));
  }

  @Override
  public void admit(String workspace, Consumer<OptionalLong> outcome) {
    long since = System.nanoTime();
    quota.admit(workspace, result -> onOutcome(workspace, since, result, outcome), since);
  }

  @Override
  public void giveBack(String workspace) {
    telemetry.onGivenBack();
    quota.giveBack(workspace, System.nanoTime());
  }

  /**
   * Handles a message of another proxy.
   *
   * @param from The name of the sending proxy.
   * @param message The message.
   */
  public void onMessage(String from, PeerMessage message) {
    long now = System.nanoTime();
    switch (message) {
      case PeerMessage.Heartbeat heartbeat -> greet(from, heartbeat.boot(), now);
      case PeerMessage.Acquaintance acquaintance -> fleet.onKnownFor(acquaintance.knownMillis());
      case PeerMessage.TokenRequest request -> {
        QuotaGranter.Grant grant = quota.onRequest(request.workspace(), request.wanted(), now);
        peers.send(
            from,
            new PeerMessage.TokenGrant(
                request.workspace(), request.requestId(), grant.tokens(), grant.waitMillis()));
      }
      case PeerMessage.TokenGrant grant -> {
        telemetry.onAnswer();
        quota.onGrant(
            grant.workspace(),
            grant.requestId(),
            new QuotaGranter.Grant(grant.tokens(), grant.waitMillis()),
            now);
      }
      default -> {
        // Other messages only show that the sender runs.
      }
    }
    quota.onHeard(from, now);
  }

  /** Tells a proxy that has just started for how long it has been known here. */
  private void greet(String from, String boot, long now) {
    if (!boot.equals(boots.put(from, boot))) {
      peers.send(from, new PeerMessage.Acquaintance(fleet.knownMillis(from, now)));
    }
  }

  private void onOutcome(
      String workspace, long since, OptionalLong result, Consumer<OptionalLong> outcome) {
    if (result.isPresent()) {
      telemetry.onRefused(workspace, result.getAsLong());
    } else {
      telemetry.onAdmitted(System.nanoTime() - since);
    }
    outcome.accept(result);
  }

  /** Returns the plan of a workspace, empty if it has no limit. */
  private Optional<QuotaPlan> plan(String workspace) {
    DesiredState current = desired.get();
    if (current != planned) {
      planned = current;
      plans.clear();
    }
    return plans.computeIfAbsent(
        workspace,
        name ->
            current
                .workspaces()
                .byName(name)
                .filter(known -> Double.isFinite(known.ratePerSecond()))
                .map(known -> QuotaPlan.of(known.ratePerSecond(), known.burst(), bounds)));
  }

  private void tidy() {
    long now = System.nanoTime();
    quota.tidy(now);
    fleet.tidy(now);
    boots.keySet().removeIf(name -> !fleet.knows(name));
    telemetry.tidy();
    size = quota.size();
  }

  /** Sends the requests for tokens as datagrams. */
  private final class DatagramPort implements FleetQuota.Port {

    @Override
    public void request(String holder, String workspace, long requestId, int wanted) {
      peers.send(holder, new PeerMessage.TokenRequest(workspace, requestId, wanted));
      loop.scheduleTimeout(
          REQUEST_TIMEOUT_MILLIS,
          () -> {
            if (quota.onTimeout(workspace, requestId, System.nanoTime())) {
              telemetry.onSilentHolder();
            }
          });
    }

    @Override
    public void wake(String workspace, long delayMillis) {
      loop.schedule(delayMillis, () -> quota.onWake(workspace, System.nanoTime()));
    }
  }
}
