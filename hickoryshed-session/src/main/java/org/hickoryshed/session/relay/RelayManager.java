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
import org.hickoryshed.decision.membership.RendezvousHashing;
import org.hickoryshed.decision.sharing.ConnectionShare;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.directory.DirectoryClient;
import org.hickoryshed.session.directory.DirectoryRequest;
import org.hickoryshed.session.directory.DirectoryUpdate;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.member.Borrower;
import org.hickoryshed.session.member.ConnectionSharing;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;
import org.tinylog.Logger;

/**
 * The loans between this proxy and the others.
 *
 * <p>Where proxies outnumber the connections of a member, one proxy of each failure domain holds
 * the connections that the others of that domain borrow. Elsewhere each has its own, and borrows
 * only to reach a member that it is cut off from.
 */
public final class RelayManager implements ConnectionSharing, DirectoryClient {

  /** The time for which a proxy whose link failed is not used, in milliseconds. */
  private static final long FAILED_MILLIS = 2000;

  /** The time for which a proxy that refused is not used for the same member, in milliseconds. */
  private static final long REFUSED_MILLIS = 500;

  /** The time for which the choice of a holder stands, in milliseconds. */
  private static final long CHOICE_MILLIS = 500;

  /** The number of links from other proxies at most. */
  private static final int HOSTS = 512;

  /** The highest number of bytes that wait to be sent to a borrowing proxy. */
  private static final int OUTPUT_BYTES = 12 * 1024 * 1024;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The name and place of this proxy. */
  private final Supplier<Place> place;

  /** The loop that owns all links. */
  private final EventLoop loop;

  /** The other proxies. */
  private final PeerNetwork peers;

  /** Finds a database by the name of its pool. */
  private final Function<String, Optional<Database>> databases;

  /** Tells whether this proxy is about to end. */
  private final BooleanSupplier leaving;

  /** The log. */
  private final EventLog log;

  /** The metrics. */
  private final Metrics metrics;

  /** The links to lending proxies, by their names. */
  private final Map<String, RelayBorrowerLink> links = new HashMap<>();

  /** The reading of the steady clock until which a proxy, or a proxy for a member, is not used. */
  private final Map<Route, Long> avoided = new HashMap<>();

  /** The proxies that reach members which this proxy does not, by member. */
  private final Map<String, String> detours = new HashMap<>();

  /** The chosen holders of connections, by member. */
  private final Map<String, Choice> choices = new HashMap<>();

  /** Answers the questions of other proxies about the directory. */
  private Function<DirectoryRequest, DirectoryUpdate> directory =
      question -> new DirectoryUpdate(Optional.empty(), Optional.empty(), Map.of());

  /** The lending ends of the links from other proxies. */
  private final Set<RelayLenderLink> hosts = ConcurrentHashMap.newKeySet();

  /**
   * Creates the loans of a proxy.
   *
   * @param place The source of the name and place of this proxy.
   * @param loop The loop that owns all links.
   * @param peers The other proxies.
   * @param databases Finds a database by the name of its pool.
   * @param leaving Tells whether this proxy is about to end.
   * @param log The log.
   * @param metrics The metrics.
   */
  public RelayManager(
      Supplier<Place> place,
      EventLoop loop,
      PeerNetwork peers,
      Function<String, Optional<Database>> databases,
      BooleanSupplier leaving,
      EventLog log,
      Metrics metrics) {
    this.place = place;
    this.loop = loop;
    this.peers = peers;
    this.databases = databases;
    this.leaving = leaving;
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Takes what answers the questions of other proxies about the directory, before the loop is
   * started.
   *
   * @param source What answers them.
   */
  public void setDirectoryResponder(Function<DirectoryRequest, DirectoryUpdate> source) {
    directory = source;
  }

  @Override
  public void askDirectory(
      String proxy, DirectoryRequest question, Consumer<Optional<DirectoryUpdate>> receiver) {
    Optional<RelayBorrowerLink> link =
        isAvoided(new Route(proxy, "")) ? Optional.empty() : link(proxy);
    link.ifPresentOrElse(
        open -> open.askDirectory(question, receiver), () -> receiver.accept(Optional.empty()));
  }

  /**
   * Listens for proxies that borrow.
   *
   * @param address The address of this proxy for the others.
   */
  public void listen(InetSocketAddress address) {
    loop.listen(address, this::accept);
  }

  /**
   * Counts the connections that other proxies use, or wait for; may be called by any thread.
   *
   * @return The number of loans.
   */
  public int lentConnectionCount() {
    return hosts.stream().mapToInt(RelayLenderLink::loans).sum();
  }

  @Override
  public boolean borrow(MemberPool pool, Borrower borrower) {
    Optional<RelayBorrowerLink> link = lender(pool).flatMap(this::link);
    link.ifPresent(
        open -> {
          metrics.counter("relayed_statements", "domain", pool.entry().domain()).inc();
          open.borrow(pool, borrower);
        });
    return link.isPresent();
  }

  @Override
  public boolean cancel(Borrower borrower) {
    return links.values().stream().anyMatch(link -> link.cancel(borrower));
  }

  @Override
  public boolean isReachableThroughPeer(MemberPool pool) {
    return detour(pool).isPresent();
  }

  @Override
  public void notePeerReaches(String member, String proxy) {
    detours.put(member, proxy);
  }

  @Override
  public ConnectionShare share(MemberPool pool) {
    int limit = pool.connectionLimit();
    int proxies = peers.proxyCount();
    if (!ConnectionShare.isHeldPerDomain(limit, proxies)) {
      return ConnectionShare.perProxy(limit, proxies, place.get().keptConnections);
    }
    return holder(pool).isEmpty()
        ? ConnectionShare.forHolder(limit, place.get().domains)
        : ConnectionShare.forNonHolder();
  }

  @Override
  public void announceContention(MemberPool pool) {
    PeerMessage.Contention message =
        new PeerMessage.Contention(pool.entry().pool(), pool.entry().id());
    peers.alivePeers().forEach(proxy -> peers.send(proxy, message));
  }

  /**
   * Handles a message of another proxy.
   *
   * @param message The message.
   */
  public void onMessage(PeerMessage message) {
    if (message instanceof PeerMessage.Contention contention) {
      databases
          .apply(contention.pool())
          .flatMap(database -> database.pool(contention.member()))
          .ifPresent(MemberPool::noteContention);
    }
  }

  /**
   * Finds the proxy whose connection is to be used for a member.
   *
   * @param pool The pool of the member.
   * @return The name of the proxy or an empty optional if this process uses its own.
   */
  private Optional<String> lender(MemberPool pool) {
    if (!pool.isDirectlyReachable()) {
      return detour(pool);
    }
    return ConnectionShare.isHeldPerDomain(pool.connectionLimit(), peers.proxyCount())
        ? holder(pool).filter(proxy -> !isAvoided(new Route(proxy, pool.entry().id())))
        : Optional.empty();
  }

  /**
   * Finds the proxy that reaches a member which this process does not reach.
   *
   * @param pool The pool of the member.
   * @return The name of the proxy or an empty optional if none is known.
   */
  private Optional<String> detour(MemberPool pool) {
    String member = pool.entry().id();
    return Optional.ofNullable(detours.get(member))
        .filter(proxy -> peers.aliveAddress(proxy).isPresent())
        .filter(proxy -> !isAvoided(new Route(proxy, "")))
        .filter(proxy -> !isAvoided(new Route(proxy, member)));
  }

  /**
   * Chooses the proxy of this failure domain that holds the connections to a member.
   *
   * @param pool The pool of the member.
   * @return The name of the proxy or an empty optional if it is this one.
   */
  private Optional<String> holder(MemberPool pool) {
    String member = pool.entry().id();
    Choice known = choices.get(member);
    if (known == null || known.until - loop.now() <= 0) {
      List<String> candidates = new ArrayList<>(peers.peersInDomain());
      candidates.removeIf(proxy -> isAvoided(new Route(proxy, "")));
      if (candidates.isEmpty() || !leaving.getAsBoolean()) {
        candidates.add(place.get().name);
      }
      String first = RendezvousHashing.order(member, candidates, Function.identity()).get(0);
      known = new Choice(first, loop.now() + CHOICE_MILLIS * NANOS_IN_MILLI);
      choices.put(member, known);
    }
    return Optional.of(known.proxy).filter(proxy -> !proxy.equals(place.get().name));
  }

  /**
   * Finds or opens the link to a proxy.
   *
   * @param proxy The name of the proxy.
   * @return The link or an empty optional if it can't be had.
   */
  private Optional<RelayBorrowerLink> link(String proxy) {
    RelayBorrowerLink known = links.get(proxy);
    Optional<InetSocketAddress> address = peers.aliveAddress(proxy);
    if (known != null || address.isEmpty()) {
      return Optional.ofNullable(known);
    }
    RelayBorrowerLink opened = new RelayBorrowerLink(loop, new LinkEnd(proxy));
    try {
      opened.open(address.get());
    } catch (IOException exception) {
      noteFailure(proxy, String.valueOf(exception.getMessage()));
      return Optional.empty();
    }
    log.event("relay-opened").with("peer", proxy).write();
    links.put(proxy, opened);
    return Optional.of(opened);
  }

  /**
   * Notes that the link to a proxy failed.
   *
   * @param proxy The name of the proxy.
   * @param reason What happened.
   */
  private void noteFailure(String proxy, String reason) {
    links.remove(proxy);
    avoid(new Route(proxy, ""), FAILED_MILLIS);
    choices.clear();
    log.event("relay-lost").with("peer", proxy).with("reason", reason).write();
  }

  /**
   * Avoids a way for a while.
   *
   * @param route The way.
   * @param millis The time in milliseconds.
   */
  private void avoid(Route route, long millis) {
    avoided.values().removeIf(until -> until - loop.now() <= 0);
    avoided.put(route, loop.now() + millis * NANOS_IN_MILLI);
  }

  /**
   * Checks if a way is to be avoided.
   *
   * @param route The way.
   * @return {@code true} if it failed a moment ago.
   */
  private boolean isAvoided(Route route) {
    Long until = avoided.get(route);
    return until != null && until - loop.now() > 0;
  }

  /**
   * Accepts a proxy that borrows.
   *
   * @param channel The channel.
   */
  private void accept(SocketChannel channel) {
    try {
      if (hosts.size() >= HOSTS) {
        metrics.counter("relay_links_refused", "reason", "limit").inc();
        channel.close();
        return;
      }
      RelayLenderLink host = new RelayLenderLink(loop, databases, directory, hosts::remove);
      host.attach(
          loop.registerAccepted(
              channel,
              host,
              new Connection.Limits(RelayCodec.HEADER_BYTES + RelayCodec.LONGEST, OUTPUT_BYTES)));
      hosts.add(host);
    } catch (IOException exception) {
      Logger.warn("a link ended while it was accepted: {}", exception.getMessage());
    }
  }

  /**
   * The name and place of a proxy.
   *
   * @param name The name.
   * @param domains The number of failure domains.
   * @param keptConnections The number of connections to a member that stay open while idle.
   */
  public record Place(String name, int domains, int keptConnections) {}

  /**
   * A way to a member.
   *
   * @param proxy The name of the lending proxy.
   * @param member The identifier of the member, empty for all.
   */
  private record Route(String proxy, String member) {}

  /**
   * The chosen holder of the connections to a member.
   *
   * @param proxy The name of the proxy.
   * @param until The reading of the steady clock until which the choice stands, in nanoseconds.
   */
  private record Choice(String proxy, long until) {}

  /** What hears of the end of a link and of refused loans. */
  private final class LinkEnd implements RelayBorrowerLink.Listener {

    /** The name of the lending proxy. */
    private final String proxy;

    /**
     * Creates a new listener.
     *
     * @param proxy The name of the lending proxy.
     */
    private LinkEnd(String proxy) {
      this.proxy = proxy;
    }

    @Override
    public void onLinkClosed(String reason) {
      noteFailure(proxy, reason);
    }

    @Override
    public void onUnavailable(MemberPool pool, String reason) {
      avoid(new Route(proxy, pool.entry().id()), REFUSED_MILLIS);
      detours.remove(pool.entry().id(), proxy);
      log.event("relay-refused")
          .with("peer", proxy)
          .with("member", pool.entry().id())
          .with("reason", reason)
          .write();
    }
  }
}
