package org.hickoryshed.session.directory;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberList;
import org.hickoryshed.decision.membership.StoreWatchState;
import org.hickoryshed.kernel.settings.Addresses;
import org.hickoryshed.session.SessionServer;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;

/**
 * Brings this proxy to the newest version of the directory that another proxy announces.
 *
 * <p>Heartbeats carry the versions that a proxy knows; a proxy with older versions requests the
 * difference. Proxies that don't watch the store, or get no response from it, follow the directory
 * in this way, also at their start.
 *
 * <p>All methods run on the event loop.
 */
public final class DirectorySynchronizer {

  /**
   * The time in which a proxy that calls the store may learn a newer version there before it
   * requests it from a peer, in milliseconds.
   */
  private static final long STORE_GRACE_MILLIS = 250;

  /** The shortest time between two extra heartbeats to the same peer, in milliseconds. */
  private static final long MIN_EXTRA_HEARTBEAT_INTERVAL_MILLIS = 500;

  /** The shortest time between two renewals of the watches of the store, in milliseconds. */
  private static final long MIN_RENEWAL_INTERVAL_MILLIS = 2000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop loop;

  private final PeerNetwork peers;

  /** The directory in force at this proxy. */
  private final SessionServer server;

  private final DirectoryClient client;

  /** What this proxy knows about the store from its own calls. */
  private final Supplier<StoreWatchState> storeWatchState;

  /** Renews the watches of the store. */
  private final Runnable renewal;

  private final EventLog log;

  /** The monotonic clock readings in nanoseconds of the latest extra heartbeats, by peer. */
  private final Map<String, Long> extraHeartbeats = new HashMap<>();

  /** The peer whose response is awaited. */
  private Optional<String> requestedPeer = Optional.empty();

  /** The latest announcement of newer versions that arrived while a response was awaited. */
  private Optional<AnnouncedVersions> nextAnnouncement = Optional.empty();

  /**
   * The monotonic clock reading in nanoseconds until which the watches are not renewed again, if
   * any.
   */
  private Optional<Long> noRenewalUntil = Optional.empty();

  /**
   * Creates a synchronizer.
   *
   * @param loop The event loop that owns the synchronizer.
   * @param peers The network of the other proxies.
   * @param server The directory in force at this proxy.
   * @param client Requests the directory from other proxies.
   * @param storeWatchState What this proxy knows about the store from its own calls.
   * @param renewal Renews the watches of the store.
   * @param log The event log.
   */
  public DirectorySynchronizer(
      EventLoop loop,
      PeerNetwork peers,
      SessionServer server,
      DirectoryClient client,
      Supplier<StoreWatchState> storeWatchState,
      Runnable renewal,
      EventLog log) {
    this.loop = loop;
    this.peers = peers;
    this.server = server;
    this.client = client;
    this.storeWatchState = storeWatchState;
    this.renewal = renewal;
    this.log = log;
  }

  /**
   * Handles a message of another proxy; ignores all but heartbeats.
   *
   * @param from The name of the sending proxy.
   * @param message The message.
   */
  public void onMessage(String from, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat heartbeat) {
      notifyIfBehind(from, heartbeat);
      onAnnouncement(
          new AnnouncedVersions(from, heartbeat.desiredVersion(), heartbeat.memberVersion()));
    }
  }

  /**
   * Creates the response to the request of another proxy.
   *
   * @param request The versions known to that proxy. Zero as the version of the desired state means
   *     that it just started.
   * @return What this proxy knows beyond these versions.
   */
  public DirectoryUpdate respond(DirectoryRequest request) {
    Map<String, String> proxies = new HashMap<>();
    if (request.desiredVersion() == 0) {
      peers
          .aliveAddresses()
          .forEach((name, address) -> proxies.put(name, Addresses.write(address)));
    }
    return new DirectoryUpdate(
        Optional.of(server.desired())
            .filter(desired -> desired.version() > request.desiredVersion()),
        Optional.of(server.members())
            .filter(members -> members.revision() > request.memberVersion()),
        proxies);
  }

  /**
   * Sends an extra heartbeat to a peer that knows older versions, so that it need not wait for its
   * turn to learn of the newer ones.
   */
  private void notifyIfBehind(String from, PeerMessage.Heartbeat heartbeat) {
    boolean isBehind =
        heartbeat.desiredVersion() < server.desired().version()
            || heartbeat.memberVersion() < server.memberVersion();
    extraHeartbeats
        .values()
        .removeIf(at -> loop.now() - at > MIN_EXTRA_HEARTBEAT_INTERVAL_MILLIS * NANOS_PER_MILLI);
    if (isBehind && !extraHeartbeats.containsKey(from)) {
      extraHeartbeats.put(from, loop.now());
      peers.sendHeartbeatTo(from);
    }
  }

  /**
   * Requests announced versions if they are newer: at once if this proxy doesn't call the store,
   * else after a delay in which the store may deliver them.
   */
  private void onAnnouncement(AnnouncedVersions announced) {
    if (!isWorthRequesting(announced)) {
      return;
    }
    if (storeWatchState.get() == StoreWatchState.RESTING) {
      requestDirectory(announced);
    } else {
      loop.schedule(STORE_GRACE_MILLIS, () -> requestDirectory(announced));
    }
  }

  /**
   * Requests the directory from the announcing peer. Only one request runs at a time; the latest
   * other announcement waits for its end.
   */
  private void requestDirectory(AnnouncedVersions announced) {
    if (!isWorthRequesting(announced)) {
      return;
    }
    if (requestedPeer.isPresent()) {
      nextAnnouncement = Optional.of(announced);
      return;
    }
    requestedPeer = Optional.of(announced.proxy);
    DirectoryRequest request =
        new DirectoryRequest(server.desired().version(), server.memberVersion());
    client.requestDirectory(announced.proxy, request, update -> onResponse(announced, update));
  }

  /**
   * Handles the response of a peer.
   *
   * @param announced The versions that the peer announced.
   * @param update The response, or an empty optional if there was none.
   */
  private void onResponse(AnnouncedVersions announced, Optional<DirectoryUpdate> update) {
    requestedPeer = Optional.empty();
    log.event("directory-asked")
        .with("peer", announced.proxy)
        .with(
            "desired-version",
            update.flatMap(DirectoryUpdate::desired).map(DesiredState::version).orElse(0L))
        .with(
            "member-version",
            update.flatMap(DirectoryUpdate::members).map(MemberList::revision).orElse(0L))
        .with("outcome", update.isPresent() ? "answered" : "no answer")
        .write();
    update.ifPresentOrElse(this::applyUpdate, this::renewWatches);
    Optional<AnnouncedVersions> next = nextAnnouncement;
    nextAnnouncement = Optional.empty();
    next.ifPresent(this::requestDirectory);
  }

  /** Applies what a peer knows, and adds the proxies that it names. */
  private void applyUpdate(DirectoryUpdate update) {
    update.desired().ifPresent(server::onDesiredState);
    update.members().ifPresent(server::onMembers);
    update
        .proxies()
        .forEach(
            (name, address) -> {
              if (Addresses.isAddress(address)) {
                peers.addPeer(name, Addresses.read(address));
              }
            });
  }

  /** Renews the watches of the store, since a peer knows newer versions but did not respond. */
  private void renewWatches() {
    if (noRenewalUntil.filter(until -> until - loop.now() > 0).isEmpty()) {
      noRenewalUntil = Optional.of(loop.now() + MIN_RENEWAL_INTERVAL_MILLIS * NANOS_PER_MILLI);
      renewal.run();
    }
  }

  /**
   * Checks if announced versions are newer than the ones known here.
   *
   * <p>After the end of a member's entry, two watchers of the store may know different versions of
   * the same members. Members are therefore not requested from other failure domains while this
   * proxy or a peer in its failure domain watches the store.
   */
  private boolean isWorthRequesting(AnnouncedVersions announced) {
    boolean considersMembers =
        server.memberVersion() == 0
            || peers.isInSameDomain(announced.proxy)
            || !isStoreWatchedInDomain();
    return announced.desiredVersion > server.desired().version()
        || (considersMembers && announced.memberVersion > server.memberVersion());
  }

  /** Checks if this proxy or a peer in its failure domain watches the store. */
  private boolean isStoreWatchedInDomain() {
    return storeWatchState.get() == StoreWatchState.WATCHING
        || peers.storeWatchStatesInDomain().containsValue(StoreWatchState.WATCHING);
  }

  /**
   * The versions that a peer announced in its heartbeat.
   *
   * @param proxy The name of the peer.
   * @param desiredVersion The version of the desired state.
   * @param memberVersion The version of the members.
   */
  private record AnnouncedVersions(String proxy, long desiredVersion, long memberVersion) {}
}
