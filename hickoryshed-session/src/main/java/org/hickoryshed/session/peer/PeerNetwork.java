package org.hickoryshed.session.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hickoryshed.decision.membership.StoreWatchState;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.net.UdpSocket;

/**
 * Tracks the other proxies of the system by their heartbeats, and sends datagrams to them.
 *
 * <p>A proxy learns the first addresses from the directory and further ones from the datagrams that
 * reach it. All methods run on the event loop unless they say otherwise.
 */
public final class PeerNetwork {

  private static final long HEARTBEAT_MILLIS = 1000;

  /** The number of proxies of other failure domains that one heartbeat goes to. They take turns. */
  private static final int FAN_OUT = 8;

  /**
   * The silence after which a peer no longer counts as alive, in milliseconds. For peers of other
   * failure domains it is multiplied by the number of heartbeats until all of them had a turn.
   */
  private static final long ALIVE_MILLIS = 2600;

  /**
   * The time for which a peer that the directory named is included in {@link #proxyCount()}
   * although no datagram arrived from it, in milliseconds.
   */
  private static final long ADDED_MILLIS = 3000;

  /** The silence for which a peer still counts in votes, in milliseconds. */
  private static final long RECENT_MILLIS = 9000;

  /** The interval of the heartbeats to a seed address while no peer is alive, in milliseconds. */
  private static final long SEED_INTERVAL_MILLIS = 250;

  /** The silence after which a peer is forgotten, in milliseconds. */
  private static final long FORGET_MILLIS = 60_000;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final EventLoop loop;

  private final String name;

  private final String domain;

  /** Creates the heartbeat of this proxy; called on the event loop. */
  private final Supplier<PeerMessage.Heartbeat> heartbeat;

  private final EventLog log;

  private final Metrics metrics;

  /**
   * The other proxies by name. Each heartbeat moves its receivers to the end, so those whose turn
   * it is come first.
   */
  private final Map<String, Peer> peers = new LinkedHashMap<>();

  /** The number of proxies that run or may run, including this one. */
  private int proxyCount = 1;

  /** The number of proxies in each failure domain, this one included, as of the last heartbeat. */
  private Map<String, Integer> proxiesByDomain = Map.of();

  /** True once all peers were told that this process is shutting down. */
  private boolean leavingAnnounced;

  private UdpSocket datagrams;

  private Listener listener;

  /**
   * Creates a network that doesn't listen yet.
   *
   * @param loop The event loop that owns the network.
   * @param name The name of this proxy.
   * @param domain The failure domain of this proxy.
   * @param heartbeat Creates the heartbeat of this proxy; called on the event loop.
   * @param log The event log.
   * @param metrics The metrics of this process.
   */
  public PeerNetwork(
      EventLoop loop,
      String name,
      String domain,
      Supplier<PeerMessage.Heartbeat> heartbeat,
      EventLog log,
      Metrics metrics) {
    this.loop = loop;
    this.name = name;
    this.domain = domain;
    this.heartbeat = heartbeat;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Starts to listen and to send heartbeats.
   *
   * @param address The address of this proxy for its peers.
   * @param receiver Receives the messages of other proxies.
   * @throws IOException If the address can't be listened on.
   */
  public void start(InetSocketAddress address, Listener receiver) throws IOException {
    listener = receiver;
    datagrams = loop.openUdpSocket(address, this::onDatagram);
    loop.scheduleEvery(HEARTBEAT_MILLIS, this::sendHeartbeats);
  }

  /**
   * Adds a proxy that the directory names, unless it is this one or known; may be called by any
   * thread.
   *
   * @param peer The name of the proxy.
   * @param address The address of the proxy.
   */
  public void addPeer(String peer, InetSocketAddress address) {
    loop.submit(
        () -> {
          if (!peer.equals(name) && !peers.containsKey(peer)) {
            Peer added = new Peer(address);
            added.heardAt = loop.now() - RECENT_MILLIS * NANOS_PER_MILLI;
            added.addedAt = loop.now();
            peers.put(peer, added);
            updateProxyCount();
            transmit(added, heartbeat.get());
          }
        });
  }

  /**
   * Returns the names of the peers that are alive: their last datagram is recent enough for their
   * turn.
   *
   * @return The names.
   */
  public List<String> alivePeers() {
    return peers.entrySet().stream()
        .filter(entry -> isAlive(entry.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the names of the peers that count in votes. These include peers that fell silent a
   * short time ago, so that the smaller part of a partitioned system finds no majority.
   *
   * @return The names.
   */
  public List<String> recentPeers() {
    return peers.entrySet().stream()
        .filter(entry -> isRecent(entry.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the names of the peers that may still run: all that were heard, or that the directory
   * named, within a minute, without those that said that they leave and fell silent.
   *
   * @return The names, without this proxy's.
   */
  public Set<String> knownPeers() {
    return peers.entrySet().stream()
        .filter(entry -> isRecent(entry.getValue()) || !entry.getValue().leaving)
        .map(Map.Entry::getKey)
        .collect(Collectors.toSet());
  }

  /**
   * Returns the number of proxies that run or may run, including this one.
   *
   * @return The number as of the last heartbeat, or as of the last peer that was added or heard
   *     again since.
   */
  public int proxyCount() {
    return proxyCount;
  }

  /**
   * Returns the number of proxies in each failure domain that are alive and not shutting down, this
   * one included.
   *
   * @return The numbers as of the last heartbeat, or as of the last peer that was added or heard
   *     again since.
   */
  public Map<String, Integer> proxiesByDomain() {
    return proxiesByDomain;
  }

  private Map<String, Integer> countByDomain() {
    Map<String, Integer> counts = new HashMap<>(Map.of(domain, 1));
    peers.values().stream()
        .filter(peer -> isAlive(peer) && !peer.leaving && !peer.domain.isEmpty())
        .forEach(peer -> counts.merge(peer.domain, 1, Integer::sum));
    return Map.copyOf(counts);
  }

  private void updateProxyCount() {
    proxiesByDomain = countByDomain();
    long addedSince = loop.now() - ADDED_MILLIS * NANOS_PER_MILLI;
    proxyCount =
        1
            + (int)
                peers.values().stream()
                    .filter(peer -> isRecent(peer) || peer.addedAt - addedSince > 0)
                    .count();
  }

  /**
   * Returns the names of the peers of this failure domain that are alive and not shutting down.
   *
   * @return The names, without this proxy's.
   */
  public List<String> peersInDomain() {
    return List.copyOf(storeWatchStatesInDomain().keySet());
  }

  /**
   * Returns the names of the peers of a failure domain that are alive and not shutting down. News
   * of another failure domain than this proxy's may be as old as a whole round of heartbeats.
   *
   * @param name The name of the failure domain.
   * @return The names, without this proxy's.
   */
  public List<String> peersIn(String name) {
    return peers.entrySet().stream()
        .filter(entry -> entry.getValue().domain.equals(name) && isAlive(entry.getValue()))
        .filter(entry -> !entry.getValue().leaving)
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns what the peers of this failure domain that are alive and not shutting down know about
   * the store.
   *
   * @return The states by the names of the peers, without this proxy's.
   */
  public Map<String, StoreWatchState> storeWatchStatesInDomain() {
    return peers.entrySet().stream()
        .filter(entry -> isInOwnDomain(entry.getValue()) && isAlive(entry.getValue()))
        .filter(entry -> !entry.getValue().leaving)
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().storeWatchState));
  }

  /**
   * Checks if a peer is in the failure domain of this proxy.
   *
   * @param peer The name of the peer.
   * @return {@code true} if it is; {@code false} also if its failure domain is not known yet.
   */
  public boolean isInSameDomain(String peer) {
    return Optional.ofNullable(peers.get(peer)).filter(this::isInOwnDomain).isPresent();
  }

  /**
   * Returns the failure domain of a peer.
   *
   * @param peer The name of the peer.
   * @return The failure domain, empty if it is not known yet.
   */
  public Optional<String> domainOf(String peer) {
    return Optional.ofNullable(peers.get(peer))
        .map(known -> known.domain)
        .filter(known -> !known.isEmpty());
  }

  /**
   * Returns the addresses of the peers that are alive.
   *
   * @return The addresses by the names of the peers.
   */
  public Map<String, InetSocketAddress> aliveAddresses() {
    return peers.entrySet().stream()
        .filter(entry -> isAlive(entry.getValue()))
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().address));
  }

  /** Sends an extra heartbeat to all peers of this failure domain. */
  public void sendHeartbeatToDomain() {
    PeerMessage.Heartbeat message = heartbeat.get();
    peers.values().stream().filter(this::isInOwnDomain).forEach(peer -> transmit(peer, message));
  }

  /**
   * Sends an extra heartbeat to a peer.
   *
   * @param peer The name of the peer; nothing is sent if it is not known.
   */
  public void sendHeartbeatTo(String peer) {
    send(peer, heartbeat.get());
  }

  /**
   * Sends heartbeats to an address whose proxy is not known by name, until a peer is alive.
   *
   * @param address The seed address, of the proxy that is to be contacted.
   */
  public void contactSeed(InetSocketAddress address) {
    if (peers.values().stream().noneMatch(this::isAlive)) {
      datagrams.send(address, heartbeat.get().encode(name));
      loop.schedule(SEED_INTERVAL_MILLIS, () -> contactSeed(address));
    }
  }

  /**
   * Returns the address of a peer that is alive.
   *
   * @param peer The name of the peer.
   * @return The address or an empty optional if the peer is not alive.
   */
  public Optional<InetSocketAddress> aliveAddress(String peer) {
    return Optional.ofNullable(peers.get(peer)).filter(this::isAlive).map(known -> known.address);
  }

  /**
   * Sends a message to a peer, without any guarantee that it arrives.
   *
   * @param peer The name of the peer; nothing is sent if it is not known.
   * @param message The message.
   */
  public void send(String peer, PeerMessage message) {
    Optional.ofNullable(peers.get(peer)).ifPresent(known -> transmit(known, message));
  }

  /**
   * Sends a heartbeat to the peers whose turn it is, and forgets those that were silent for long.
   */
  private void sendHeartbeats() {
    long now = loop.now();
    peers.values().removeIf(peer -> now - peer.heardAt > FORGET_MILLIS * NANOS_PER_MILLI);
    updateProxyCount();
    PeerMessage.Heartbeat own = heartbeat.get();
    if (own.leaving() && !leavingAnnounced) {
      leavingAnnounced = true;
      peers.values().forEach(peer -> transmit(peer, own));
    }
    for (String next : nextReceivers()) {
      Peer peer = peers.remove(next);
      peers.put(next, peer);
      transmit(peer, heartbeat.get());
      logIfLost(next, peer);
    }
  }

  /**
   * Chooses the receivers of the next heartbeat: all peers of this failure domain and some of the
   * others.
   */
  private List<String> nextReceivers() {
    Stream<String> inDomain =
        peers.keySet().stream().filter(peer -> isInOwnDomain(peers.get(peer)));
    Stream<String> inOtherDomains =
        peers.keySet().stream().filter(peer -> !isInOwnDomain(peers.get(peer))).limit(FAN_OUT);
    return Stream.concat(inDomain, inOtherDomains).toList();
  }

  /** Logs once that a peer is no longer alive. */
  private void logIfLost(String peer, Peer known) {
    if (known.loggedAlive && !isAlive(known)) {
      known.loggedAlive = false;
      log.event("peer-lost").with("peer", peer).write();
    }
  }

  private void onDatagram(InetSocketAddress source, byte[] content) {
    Optional<PeerMessage.Received> received = PeerMessage.decode(content);
    if (received.isEmpty()) {
      metrics.counter("peer_datagrams_ignored", "reason", "malformed").inc();
      return;
    }
    String from = received.get().from();
    if (from.equals(name)) {
      return;
    }
    Peer peer = peers.computeIfAbsent(from, key -> new Peer(source));
    peer.address = source;
    peer.heardAt = loop.now();
    if (received.get().message() instanceof PeerMessage.Heartbeat beat) {
      peer.domain = beat.domain();
      peer.leaving = beat.leaving();
      peer.storeWatchState = beat.storeWatchState();
      if (!peer.boot.equals(beat.boot())) {
        // A process that has just started learns of this one now, not when its turn comes.
        peer.boot = beat.boot();
        transmit(peer, heartbeat.get());
      }
    }
    if (!peer.loggedAlive) {
      peer.loggedAlive = true;
      updateProxyCount();
      log.event("peer-heard").with("peer", from).write();
    }
    listener.onMessage(from, received.get().message());
  }

  private boolean isAlive(Peer peer) {
    long rounds = isInOwnDomain(peer) ? 1 : (peers.size() + FAN_OUT - 1) / FAN_OUT;
    return loop.now() - peer.heardAt < Math.max(1, rounds) * ALIVE_MILLIS * NANOS_PER_MILLI;
  }

  private boolean isRecent(Peer peer) {
    return loop.now() - peer.heardAt < RECENT_MILLIS * NANOS_PER_MILLI;
  }

  private boolean isInOwnDomain(Peer peer) {
    return peer.domain.equals(domain);
  }

  private void transmit(Peer peer, PeerMessage message) {
    datagrams.send(peer.address, message.encode(name));
  }

  /** Receives the messages of other proxies. */
  public interface Listener {

    /**
     * Handles a message; called on the event loop. Heartbeats are included.
     *
     * @param from The name of the sending proxy.
     * @param message The message.
     */
    void onMessage(String from, PeerMessage message);
  }

  /** The state of another proxy. */
  private static final class Peer {

    private InetSocketAddress address;

    /** The failure domain, empty until the first heartbeat. */
    private String domain = "";

    /** The identifier of the run of the peer, empty until the first heartbeat. */
    private String boot = "";

    /** True if the last heartbeat of the peer said that it is shutting down. */
    private boolean leaving;

    /** What the peer knows about the store from its own calls. */
    private StoreWatchState storeWatchState = StoreWatchState.CUT_OFF;

    /** The monotonic clock reading in nanoseconds when the directory named the peer. */
    private long addedAt;

    /** The monotonic clock reading in nanoseconds when the last datagram of the peer arrived. */
    private long heardAt;

    /** True if the last log line about the peer said that it is alive. */
    private boolean loggedAlive;

    private Peer(InetSocketAddress address) {
      this.address = address;
    }
  }
}
