package org.hickoryshed.session.relay;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.IntStream;
import org.hickoryshed.decision.membership.RendezvousHashing;
import org.hickoryshed.decision.sharing.ConnectionShare;
import org.hickoryshed.decision.sharing.WorkspaceHolders;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.process.Descriptors;
import org.hickoryshed.session.directory.DirectoryClient;
import org.hickoryshed.session.directory.DirectoryRequest;
import org.hickoryshed.session.directory.DirectoryUpdate;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.member.Borrower;
import org.hickoryshed.session.member.ConnectionSharing;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;
import org.tinylog.Logger;

/**
 * Decides when a statement uses a connection of another proxy, and owns the links to and from the
 * other proxies.
 *
 * <p>Where proxies outnumber the connections that a member accepts, one proxy of each failure
 * domain, the holder, has connections to it that the others of that domain borrow. Elsewhere each
 * proxy has connections of its own, and borrows only to reach a member that it is cut off from.
 *
 * <p>All methods run on the event loop unless they say otherwise.
 */
public final class RelayManager implements ConnectionSharing, DirectoryClient {

  /** The time for which a proxy is not used after the link to it failed, in milliseconds. */
  private static final long PEER_FAILURE_BACKOFF_MILLIS = 2000;

  /**
   * The time for which a proxy is not used for a member after it refused a loan, in milliseconds.
   */
  private static final long REFUSAL_BACKOFF_MILLIS = 500;

  /** The time for which the choice of a holder is cached, in milliseconds. */
  private static final long HOLDER_CACHE_MILLIS = 500;

  /** Stands for all shards where connections do not belong to workspaces. */
  private static final int ALL_WORKSPACES = -1;

  /** The largest number of links from other proxies. */
  private static final int MAX_LENDER_LINKS = 512;

  /** The largest number of bytes that wait to be sent to a borrowing proxy. */
  private static final int MAX_OUTPUT_BYTES = 12 * 1024 * 1024;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final Supplier<ProxyInfo> proxyInfo;

  private final EventLoop loop;

  private final PeerNetwork peers;

  private final Function<String, Optional<Database>> databases;

  /** Returns whether this proxy is shutting down. */
  private final BooleanSupplier draining;

  private final EventLog log;

  private final Metrics metrics;

  private final Map<String, RelayBorrowerLink> borrowerLinks = new HashMap<>();

  /**
   * The monotonic clock readings in nanoseconds until which peers, or peers for one member, are not
   * used.
   */
  private final Map<RelayPath, Long> backoffEnds = new HashMap<>();

  /** The name of a peer that reaches a member, by the identifier of the member. */
  private final Map<String, String> peersReaching = new HashMap<>();

  /** The cached choices of holders. */
  private final Map<HolderKey, HolderChoice> holders = new HashMap<>();

  /** Responds to the directory requests of other proxies; by default with nothing. */
  private Function<DirectoryRequest, DirectoryUpdate> directoryResponder =
      request -> new DirectoryUpdate(Optional.empty(), Optional.empty(), Map.of());

  /**
   * The lending ends of the links from other proxies; concurrent, as {@link #lentConnectionCount()}
   * reads it on any thread.
   */
  private final Set<RelayLenderLink> lenderLinks = ConcurrentHashMap.newKeySet();

  /**
   * Creates a manager without links.
   *
   * @param proxyInfo The source of the name and settings of this proxy.
   * @param loop The event loop that owns all links.
   * @param peers The network of the other proxies.
   * @param databases Finds a database by the name of its pool.
   * @param draining Returns whether this proxy is shutting down.
   * @param log The event log.
   * @param metrics The metrics of this process.
   */
  public RelayManager(
      Supplier<ProxyInfo> proxyInfo,
      EventLoop loop,
      PeerNetwork peers,
      Function<String, Optional<Database>> databases,
      BooleanSupplier draining,
      EventLog log,
      Metrics metrics) {
    this.proxyInfo = proxyInfo;
    this.loop = loop;
    this.peers = peers;
    this.databases = databases;
    this.draining = draining;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Sets what responds to the directory requests of other proxies; to be called before the event
   * loop starts.
   *
   * @param responder Returns the response to a request.
   */
  public void setDirectoryResponder(Function<DirectoryRequest, DirectoryUpdate> responder) {
    directoryResponder = responder;
  }

  @Override
  public void requestDirectory(
      String proxy, DirectoryRequest request, Consumer<Optional<DirectoryUpdate>> receiver) {
    Optional<RelayBorrowerLink> link =
        isBackedOff(new RelayPath(proxy, "")) ? Optional.empty() : findOrOpenLink(proxy);
    link.ifPresentOrElse(
        open -> open.requestDirectory(request, receiver), () -> receiver.accept(Optional.empty()));
  }

  /**
   * Accepts links from proxies that borrow connections.
   *
   * @param address The address of this proxy for its peers.
   */
  public void listen(InetSocketAddress address) {
    loop.listen(address, this::acceptLink);
  }

  /**
   * Counts the connections that other proxies borrow or wait for; may be called by any thread.
   *
   * @return The number of loans.
   */
  public int lentConnectionCount() {
    return lenderLinks.stream().mapToInt(RelayLenderLink::loanCount).sum();
  }

  @Override
  public boolean borrow(MemberConnectionPool pool, Borrower borrower) {
    Optional<RelayBorrowerLink> link =
        lender(pool, borrower.workspace()).flatMap(this::findOrOpenLink);
    link.ifPresent(
        open -> {
          metrics.counter("relayed_statements", "domain", pool.entry().domain()).inc();
          open.borrow(pool, borrower);
        });
    return link.isPresent();
  }

  @Override
  public boolean cancel(Borrower borrower) {
    return borrowerLinks.values().stream().anyMatch(link -> link.cancel(borrower));
  }

  @Override
  public boolean isReachableThroughPeer(MemberConnectionPool pool) {
    return findPeerReaching(pool).isPresent();
  }

  @Override
  public void recordPeerReaching(String member, String proxy) {
    peersReaching.put(member, proxy);
  }

  @Override
  public boolean isShared(int connectionLimit) {
    return proxyInfo.get().workspacesUsed
        || ConnectionShare.isHeldPerDomain(connectionLimit, peers.proxyCount());
  }

  @Override
  public Map<String, Integer> proxiesByDomain() {
    return peers.proxiesByDomain();
  }

  @Override
  public ConnectionShare share(MemberConnectionPool pool) {
    int limit = pool.connectionLimit();
    if (proxyInfo.get().workspacesUsed) {
      int shards =
          (int)
              IntStream.range(0, WorkspaceHolders.SHARDS)
                  .filter(shard -> findHolder(pool, shard).isEmpty())
                  .count();
      return shards == 0
          ? ConnectionShare.forNonHolder()
          : ConnectionShare.forWorkspaceHolder(limit, shards);
    }
    int proxies = peers.proxyCount();
    if (!ConnectionShare.isHeldPerDomain(limit, proxies)) {
      return ConnectionShare.perProxy(limit, proxies, proxyInfo.get().keptConnections);
    }
    return findHolder(pool, ALL_WORKSPACES).isEmpty()
        ? ConnectionShare.forHolder(limit, proxyInfo.get().domains)
        : ConnectionShare.forNonHolder();
  }

  @Override
  public void announceContention(MemberConnectionPool pool) {
    PeerMessage.Contention message =
        new PeerMessage.Contention(pool.entry().pool(), pool.entry().id());
    peers.alivePeers().forEach(proxy -> peers.send(proxy, message));
  }

  /**
   * Handles a message of another proxy; ignores all but {@link PeerMessage.Contention}.
   *
   * @param message The message.
   */
  public void onMessage(PeerMessage message) {
    if (message instanceof PeerMessage.Contention contention) {
      databases
          .apply(contention.pool())
          .flatMap(database -> database.connectionPool(contention.member()))
          .ifPresent(MemberConnectionPool::onContention);
    }
  }

  @Override
  public Optional<String> lender(MemberConnectionPool pool, Optional<String> workspace) {
    if (!pool.isDirectlyReachable()) {
      return findPeerReaching(pool);
    }
    Optional<String> holder = Optional.empty();
    if (proxyInfo.get().workspacesUsed) {
      holder = findHolder(pool, WorkspaceHolders.shardOf(workspace));
    } else if (ConnectionShare.isHeldPerDomain(pool.connectionLimit(), peers.proxyCount())) {
      holder = findHolder(pool, ALL_WORKSPACES);
    }
    return holder.filter(proxy -> !isBackedOff(new RelayPath(proxy, pool.entry().id())));
  }

  /**
   * Finds a proxy that reaches a member which this proxy doesn't reach.
   *
   * @return The name of the proxy or an empty optional if none is known or usable.
   */
  private Optional<String> findPeerReaching(MemberConnectionPool pool) {
    String member = pool.entry().id();
    return Optional.ofNullable(peersReaching.get(member))
        .filter(proxy -> peers.aliveAddress(proxy).isPresent())
        .filter(proxy -> !isBackedOff(new RelayPath(proxy, "")))
        .filter(proxy -> !isBackedOff(new RelayPath(proxy, member)));
  }

  /**
   * Chooses the proxy that holds the connections to a member.
   *
   * <p>All proxies order the candidates by the same hash, so they agree as long as they know the
   * same candidates. A proxy that is shutting down chooses itself only if there is no other.
   *
   * @param shard The shard of {@link WorkspaceHolders}, or {@link #ALL_WORKSPACES} for the holder
   *     of this failure domain.
   * @return The name of the holder or an empty optional if it is this proxy.
   */
  private Optional<String> findHolder(MemberConnectionPool pool, int shard) {
    String member = pool.entry().id();
    HolderKey key = new HolderKey(member, shard);
    HolderChoice known = holders.get(key);
    if (known == null || known.until - loop.now() <= 0) {
      String first =
          shard == ALL_WORKSPACES
              ? RendezvousHashing.order(member, candidatesInDomain(), Function.identity()).get(0)
              : WorkspaceHolders.holderOf(member, shard, candidatesNear(pool));
      known = new HolderChoice(first, loop.now() + HOLDER_CACHE_MILLIS * NANOS_PER_MILLI);
      holders.put(key, known);
    }
    return Optional.of(known.proxy).filter(proxy -> !proxy.equals(proxyInfo.get().name));
  }

  /** Returns the proxies of this failure domain that may hold connections; never empty. */
  private List<String> candidatesInDomain() {
    List<String> candidates = new ArrayList<>(peers.peersInDomain());
    candidates.removeIf(proxy -> isBackedOff(new RelayPath(proxy, "")));
    if (candidates.isEmpty() || !draining.getAsBoolean()) {
      candidates.add(proxyInfo.get().name);
    }
    return candidates;
  }

  /**
   * Returns the proxies in the failure domain of a member that may hold connections, or those of
   * this failure domain if none is known there; never empty.
   */
  private List<String> candidatesNear(MemberConnectionPool pool) {
    String domain = pool.entry().domain();
    if (domain.equals(proxyInfo.get().domain)) {
      return candidatesInDomain();
    }
    List<String> candidates = new ArrayList<>(peers.peersIn(domain));
    candidates.removeIf(proxy -> isBackedOff(new RelayPath(proxy, "")));
    return candidates.isEmpty() ? candidatesInDomain() : candidates;
  }

  /**
   * Returns the link to a proxy, and opens it if there is none.
   *
   * @return The link or an empty optional if the proxy is not alive or the link can't be opened.
   */
  private Optional<RelayBorrowerLink> findOrOpenLink(String proxy) {
    RelayBorrowerLink known = borrowerLinks.get(proxy);
    Optional<InetSocketAddress> address = peers.aliveAddress(proxy);
    if (known != null || address.isEmpty()) {
      return Optional.ofNullable(known);
    }
    RelayBorrowerLink newLink = new RelayBorrowerLink(loop, new LinkListener(proxy));
    try {
      newLink.open(address.get());
    } catch (IOException exception) {
      onLinkFailed(proxy, String.valueOf(exception.getMessage()));
      return Optional.empty();
    }
    log.event("relay-opened").with("peer", proxy).write();
    borrowerLinks.put(proxy, newLink);
    return Optional.of(newLink);
  }

  private void onLinkFailed(String proxy, String reason) {
    borrowerLinks.remove(proxy);
    startBackoff(new RelayPath(proxy, ""), PEER_FAILURE_BACKOFF_MILLIS);
    holders.clear();
    log.event("relay-lost").with("peer", proxy).with("reason", reason).write();
  }

  /** Excludes a path from use for a while. */
  private void startBackoff(RelayPath path, long millis) {
    backoffEnds.values().removeIf(until -> until - loop.now() <= 0);
    backoffEnds.put(path, loop.now() + millis * NANOS_PER_MILLI);
  }

  private boolean isBackedOff(RelayPath path) {
    Long until = backoffEnds.get(path);
    return until != null && until - loop.now() > 0;
  }

  /** Accepts a link from a proxy that borrows, unless there are too many. */
  private void acceptLink(SocketChannel channel) {
    try {
      if (!makeRoomForLink()) {
        metrics.counter("relay_links_refused", "reason", "limit").inc();
        channel.close();
        return;
      }
      RelayLenderLink accepted =
          new RelayLenderLink(loop, databases, directoryResponder, lenderLinks::remove);
      accepted.attach(
          loop.registerAccepted(
              channel,
              accepted,
              new Connection.Limits(
                  RelayCodec.HEADER_BYTES + RelayCodec.MAX_MESSAGE_BYTES, MAX_OUTPUT_BYTES)));
      lenderLinks.add(accepted);
    } catch (IOException exception) {
      Logger.warn("could not accept the relay link of another proxy: {}", exception.getMessage());
    }
  }

  /** Closes links that lend nothing until another one fits; {@code false} if all lend. */
  private boolean makeRoomForLink() {
    int limit = Math.min(MAX_LENDER_LINKS, Descriptors.forOtherPort());
    while (lenderLinks.size() >= limit) {
      Optional<RelayLenderLink> unused =
          lenderLinks.stream().filter(link -> link.loanCount() == 0).findFirst();
      if (unused.isEmpty()) {
        return false;
      }
      unused.get().close("too many links");
    }
    return true;
  }

  /**
   * The properties of a proxy that decide how it shares connections.
   *
   * @param name The name of the proxy.
   * @param domain The failure domain of the proxy.
   * @param domains The number of failure domains of the system.
   * @param keptConnections The number of connections to a member that stay open while idle.
   * @param workspacesUsed True if connections to members belong to workspaces.
   */
  public record ProxyInfo(
      String name, String domain, int domains, int keptConnections, boolean workspacesUsed) {}

  /**
   * A path to a member through another proxy.
   *
   * @param proxy The name of the lending proxy.
   * @param member The identifier of the member, empty for all members.
   */
  private record RelayPath(String proxy, String member) {}

  /**
   * The key of a choice of a holder.
   *
   * @param member The identifier of the member.
   * @param shard The shard, or {@link #ALL_WORKSPACES}.
   */
  private record HolderKey(String member, int shard) {}

  /**
   * The cached choice of the holder of the connections to a member.
   *
   * @param proxy The name of the holder.
   * @param until The monotonic clock reading in nanoseconds until which the choice is valid.
   */
  private record HolderChoice(String proxy, long until) {}

  /** Starts a backoff when a link ends or a loan is refused. */
  private final class LinkListener implements RelayBorrowerLink.Listener {

    private final String proxy;

    private LinkListener(String proxy) {
      this.proxy = proxy;
    }

    @Override
    public void onLinkClosed(String reason) {
      onLinkFailed(proxy, reason);
    }

    @Override
    public void onUnavailable(MemberConnectionPool pool, String reason) {
      startBackoff(new RelayPath(proxy, pool.entry().id()), REFUSAL_BACKOFF_MILLIS);
      peersReaching.remove(pool.entry().id(), proxy);
      log.event("relay-refused")
          .with("peer", proxy)
          .with("member", pool.entry().id())
          .with("reason", reason)
          .write();
    }
  }
}
