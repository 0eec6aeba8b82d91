package org.hickoryshed.session.peer;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.hickoryshed.decision.membership.StoreWatchState;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.net.UdpSocket;

/**
 * The other proxies of the system, as far as they are heard.
 *
 * <p>A proxy learns the first addresses from the directory and further ones from the datagrams that
 * reach it. All of it lives on the event loop.
 */
public final class PeerNetwork {

  /** The pause between two heartbeats in milliseconds. */
  private static final long HEARTBEAT_MILLIS = 1000;

  /** The number of proxies of other failure domains that one heartbeat goes to; they take turns. */
  private static final int FAN_OUT = 8;

  /** The silence after which a proxy counts as gone, in milliseconds for each round of turns. */
  private static final long SILENCE_MILLIS = 2600;

  /** The time for which a proxy that was just added counts though it was not heard, in ms. */
  private static final long ADDED_MILLIS = 3000;

  /** The silence for which a proxy still counts in votes, in milliseconds. */
  private static final long KNOWN_MILLIS = 9000;

  /** The pause between two heartbeats to an address while no proxy is known, in milliseconds. */
  private static final long SEEK_MILLIS = 250;

  /** The silence after which a proxy is forgotten, in milliseconds. */
  private static final long FORGET_MILLIS = 60_000;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The loop that owns this network. */
  private final EventLoop loop;

  /** The name of this proxy. */
  private final String name;

  /** The failure domain of this proxy. */
  private final String domain;

  /** The source of what a heartbeat tells. */
  private final Supplier<PeerMessage.Heartbeat> heartbeat;

  /** The log. */
  private final EventLog log;

  /** The metrics. */
  private final Metrics metrics;

  /** The other proxies by their names; the one that was asked longest ago comes first. */
  private final Map<String, Peer> peers = new LinkedHashMap<>();

  /** The number of the proxies that run or may run, this one included. */
  private int size = 1;

  /** The socket. */
  private UdpSocket datagrams;

  /** The listener. */
  private Listener listener;

  /**
   * Creates a network.
   *
   * @param loop The loop that owns the network.
   * @param name The name of this proxy.
   * @param domain The failure domain of this proxy.
   * @param heartbeat The source of what a heartbeat tells.
   * @param log The log.
   * @param metrics The metrics.
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
   * Starts to listen.
   *
   * @param address The address of this proxy for the others.
   * @param receiver The listener.
   * @throws IOException If the address can't be listened on.
   */
  public void start(InetSocketAddress address, Listener receiver) throws IOException {
    listener = receiver;
    datagrams = loop.openUdpSocket(address, this::onDatagram);
    loop.schedule(HEARTBEAT_MILLIS, this::beat);
  }

  /**
   * Adds a proxy that the directory names; may be called by any thread.
   *
   * @param peer The name of the proxy.
   * @param address The address.
   */
  public void addPeer(String peer, InetSocketAddress address) {
    loop.submit(
        () -> {
          if (!peer.equals(name) && !peers.containsKey(peer)) {
            Peer added = new Peer(address);
            added.heard = loop.now() - KNOWN_MILLIS * NANOS_IN_MILLI;
            added.added = loop.now();
            peers.put(peer, added);
            count();
            transmit(added, heartbeat.get());
          }
        });
  }

  /**
   * Returns the names of the proxies that were heard a moment ago.
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
   * Returns the names of the proxies that are alive or fell silent not long ago.
   *
   * @return The names.
   */
  public List<String> recentPeers() {
    return peers.entrySet().stream()
        .filter(entry -> isKnown(entry.getValue()))
        .map(Map.Entry::getKey)
        .toList();
  }

  /**
   * Returns the number of the proxies that run or may run, this one included.
   *
   * @return The number as of the last heartbeat or the last proxy that was found since.
   */
  public int proxyCount() {
    return size;
  }

  /** Counts the proxies that run or may run, this one included. */
  private void count() {
    long addedSince = loop.now() - ADDED_MILLIS * NANOS_IN_MILLI;
    size =
        1
            + (int)
                peers.values().stream()
                    .filter(peer -> isKnown(peer) || peer.added - addedSince > 0)
                    .count();
  }

  /**
   * Returns the names of the proxies of this failure domain that are alive and do not leave.
   *
   * @return The names, without this proxy's.
   */
  public List<String> peersInDomain() {
    return List.copyOf(storeWatchStatesInDomain().keySet());
  }

  /**
   * Returns what the proxies of this failure domain that are alive and do not leave know of the
   * store.
   *
   * @return What they know at first hand, by their names, without this proxy.
   */
  public Map<String, StoreWatchState> storeWatchStatesInDomain() {
    return peers.entrySet().stream()
        .filter(entry -> isNear(entry.getValue()) && isAlive(entry.getValue()))
        .filter(entry -> !entry.getValue().leaving)
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().access));
  }

  /**
   * Checks if a proxy is in the failure domain of this one.
   *
   * @param peer The name of the proxy.
   * @return {@code true} if it is known to be near.
   */
  public boolean isInSameDomain(String peer) {
    return Optional.ofNullable(peers.get(peer)).filter(this::isNear).isPresent();
  }

  /**
   * Returns the addresses of the proxies that were heard a moment ago.
   *
   * @return The addresses by the names of the proxies.
   */
  public Map<String, InetSocketAddress> aliveAddresses() {
    return peers.entrySet().stream()
        .filter(entry -> isAlive(entry.getValue()))
        .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().address));
  }

  /** Sends a heartbeat to the proxies of this failure domain ahead of its time. */
  public void sendHeartbeatToDomain() {
    PeerMessage.Heartbeat news = heartbeat.get();
    peers.values().stream().filter(this::isNear).forEach(peer -> transmit(peer, news));
  }

  /**
   * Sends a heartbeat to one proxy ahead of its time.
   *
   * @param peer The name of the proxy.
   */
  public void sendHeartbeatTo(String peer) {
    send(peer, heartbeat.get());
  }

  /**
   * Sends heartbeats to an address whose proxy is not known by name, until one is known.
   *
   * @param address The address.
   */
  public void contactSeed(InetSocketAddress address) {
    if (peers.values().stream().noneMatch(this::isAlive)) {
      datagrams.send(address, heartbeat.get().encode(name));
      loop.schedule(SEEK_MILLIS, () -> contactSeed(address));
    }
  }

  /**
   * Finds the address of a proxy that was heard a moment ago.
   *
   * @param peer The name of the proxy.
   * @return The address or an empty optional if the proxy is silent.
   */
  public Optional<InetSocketAddress> aliveAddress(String peer) {
    return Optional.ofNullable(peers.get(peer)).filter(this::isAlive).map(known -> known.address);
  }

  /**
   * Sends a message to a proxy.
   *
   * @param peer The name of the proxy.
   * @param message The message.
   */
  public void send(String peer, PeerMessage message) {
    Optional.ofNullable(peers.get(peer)).ifPresent(known -> transmit(known, message));
  }

  /** Sends a heartbeat to the proxies whose turn it is. */
  private void beat() {
    long now = loop.now();
    peers.values().removeIf(peer -> now - peer.heard > FORGET_MILLIS * NANOS_IN_MILLI);
    count();
    for (String next : turn()) {
      Peer peer = peers.remove(next);
      peers.put(next, peer);
      transmit(peer, heartbeat.get());
      noteSilence(next, peer);
    }
    loop.schedule(HEARTBEAT_MILLIS, this::beat);
  }

  /**
   * Chooses the proxies that hear the next heartbeat: all of this failure domain, some of others.
   *
   * @return The names.
   */
  private List<String> turn() {
    Stream<String> near = peers.keySet().stream().filter(peer -> isNear(peers.get(peer)));
    Stream<String> far =
        peers.keySet().stream().filter(peer -> !isNear(peers.get(peer))).limit(FAN_OUT);
    return Stream.concat(near, far).toList();
  }

  /**
   * Logs once that a proxy is no longer heard.
   *
   * @param peer The name of the proxy.
   * @param known The proxy.
   */
  private void noteSilence(String peer, Peer known) {
    if (known.alive && !isAlive(known)) {
      known.alive = false;
      log.event("peer-lost").with("peer", peer).write();
    }
  }

  /**
   * Handles a datagram.
   *
   * @param source The address of the sender.
   * @param content The content.
   */
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
    peer.heard = loop.now();
    if (received.get().message() instanceof PeerMessage.Heartbeat beat) {
      peer.domain = beat.domain();
      peer.leaving = beat.leaving();
      peer.access = beat.access();
    }
    if (!peer.alive) {
      peer.alive = true;
      count();
      log.event("peer-heard").with("peer", from).write();
    }
    listener.onMessage(from, received.get().message());
  }

  /**
   * Checks if a proxy was heard a moment ago.
   *
   * @param peer The proxy.
   * @return {@code true} if it was heard.
   */
  private boolean isAlive(Peer peer) {
    long rounds = isNear(peer) ? 1 : (peers.size() + FAN_OUT - 1) / FAN_OUT;
    return loop.now() - peer.heard < Math.max(1, rounds) * SILENCE_MILLIS * NANOS_IN_MILLI;
  }

  /**
   * Checks if a proxy was heard not long ago.
   *
   * @param peer The proxy.
   * @return {@code true} if it counts in votes.
   */
  private boolean isKnown(Peer peer) {
    return loop.now() - peer.heard < KNOWN_MILLIS * NANOS_IN_MILLI;
  }

  /**
   * Checks if a proxy is in the failure domain of this one.
   *
   * @param peer The proxy.
   * @return {@code true} if it is near.
   */
  private boolean isNear(Peer peer) {
    return peer.domain.equals(domain);
  }

  /**
   * Sends a message.
   *
   * @param peer The proxy.
   * @param message The message.
   */
  private void transmit(Peer peer, PeerMessage message) {
    datagrams.send(peer.address, message.encode(name));
  }

  /** A listener to the messages of other proxies. */
  public interface Listener {

    /**
     * Handles a message.
     *
     * @param from The name of the sending proxy.
     * @param message The message.
     */
    void onMessage(String from, PeerMessage message);
  }

  /** Another proxy. */
  private static final class Peer {

    /** The address. */
    private InetSocketAddress address;

    /** The failure domain, empty until the first heartbeat. */
    private String domain = "";

    /** True if the proxy said that it is about to end. */
    private boolean leaving;

    /** What the proxy knows of the store at first hand. */
    private StoreWatchState access = StoreWatchState.CUT_OFF;

    /** The reading of the steady clock when the directory named the proxy, in nanoseconds. */
    private long added;

    /** The reading of the steady clock when the proxy was last heard, in nanoseconds. */
    private long heard;

    /** True if the proxy was told to be alive in the log. */
    private boolean alive;

    /**
     * Creates a new peer.
     *
     * @param address The address.
     */
    private Peer(InetSocketAddress address) {
      this.address = address;
    }
  }
}
