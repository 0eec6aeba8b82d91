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
 * Spreads the directory from the proxies that watch the store to the others.
 *
 * <p>Heartbeats tell which versions a proxy knows; whoever knows less asks it for the rest. A proxy
 * that the store turns away, also at its start, follows in this way too. All of it lives on the
 * event loop.
 */
public final class DirectorySynchronizer {

  /** The time in which a proxy that calls the store may learn the news there, in milliseconds. */
  private static final long PATIENCE_MILLIS = 250;

  /** The shortest time between two heartbeats ahead of their time to one proxy, in milliseconds. */
  private static final long GREETING_PAUSE_MILLIS = 500;

  /** The shortest time between two renewals of the own watches, in milliseconds. */
  private static final long RENEWAL_PAUSE_MILLIS = 2000;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** The loop that owns this exchange. */
  private final EventLoop loop;

  /** The other proxies. */
  private final PeerNetwork peers;

  /** The directory of this proxy. */
  private final SessionServer server;

  /** The way to other proxies. */
  private final DirectoryClient links;

  /** What this proxy knows of the store at first hand. */
  private final Supplier<StoreWatchState> access;

  /** Renews the own watches of the store. */
  private final Runnable renewal;

  /** The log. */
  private final EventLog log;

  /** The readings of the steady clock of the latest heartbeats ahead of time, by proxy. */
  private final Map<String, Long> greeted = new HashMap<>();

  /** The proxy that is asked now. */
  private Optional<String> asked = Optional.empty();

  /** The latest claim to know more that came while another proxy was asked. */
  private Optional<Claim> waiting = Optional.empty();

  /** The reading of the steady clock until which the watches are not renewed again, if any. */
  private Optional<Long> renewedUntil = Optional.empty();

  /**
   * Creates an exchange.
   *
   * @param loop The loop that owns the exchange.
   * @param peers The other proxies.
   * @param server The directory of this proxy.
   * @param links The way to other proxies.
   * @param access What this proxy knows of the store at first hand.
   * @param renewal Renews the own watches of the store.
   * @param log The log.
   */
  public DirectorySynchronizer(
      EventLoop loop,
      PeerNetwork peers,
      SessionServer server,
      DirectoryClient links,
      Supplier<StoreWatchState> access,
      Runnable renewal,
      EventLog log) {
    this.loop = loop;
    this.peers = peers;
    this.server = server;
    this.links = links;
    this.access = access;
    this.renewal = renewal;
    this.log = log;
  }

  /**
   * Handles a message of another proxy.
   *
   * @param from The name of the proxy.
   * @param message The message.
   */
  public void onMessage(String from, PeerMessage message) {
    if (message instanceof PeerMessage.Heartbeat beat) {
      answerNewcomer(from, beat);
      consider(new Claim(from, beat.desiredVersion(), beat.memberVersion()));
    }
  }

  /**
   * Answers the question of another proxy.
   *
   * @param question The question.
   * @return What this proxy knows beyond the versions of the other one.
   */
  public DirectoryUpdate respond(DirectoryRequest question) {
    Map<String, String> proxies = new HashMap<>();
    if (question.desiredVersion() == 0) {
      peers
          .aliveAddresses()
          .forEach((name, address) -> proxies.put(name, Addresses.write(address)));
    }
    return new DirectoryUpdate(
        Optional.of(server.desired())
            .filter(desired -> desired.version() > question.desiredVersion()),
        Optional.of(server.members()).filter(members -> members.shown() > question.memberVersion()),
        proxies);
  }

  /**
   * Tells a proxy at once that this one knows more, so that it need not wait for its turn.
   *
   * @param from The name of the proxy.
   * @param beat What it knows.
   */
  private void answerNewcomer(String from, PeerMessage.Heartbeat beat) {
    boolean knowsLess =
        beat.desiredVersion() < server.desired().version()
            || beat.memberVersion() < server.memberVersion();
    greeted.values().removeIf(at -> loop.now() - at > GREETING_PAUSE_MILLIS * NANOS_IN_MILLI);
    if (knowsLess && !greeted.containsKey(from)) {
      greeted.put(from, loop.now());
      peers.sendHeartbeatTo(from);
    }
  }

  /**
   * Considers the claim of a proxy to know more. Who calls the store gives it a moment to answer.
   *
   * @param claim The claim.
   */
  private void consider(Claim claim) {
    if (!isNews(claim)) {
      return;
    }
    if (access.get() == StoreWatchState.RESTING) {
      ask(claim);
    } else {
      loop.schedule(PATIENCE_MILLIS, () -> ask(claim));
    }
  }

  /**
   * Asks a proxy for what it knows, one proxy at a time.
   *
   * @param claim The claim of the proxy.
   */
  private void ask(Claim claim) {
    if (!isNews(claim)) {
      return;
    }
    if (asked.isPresent()) {
      waiting = Optional.of(claim);
      return;
    }
    asked = Optional.of(claim.proxy);
    DirectoryRequest question =
        new DirectoryRequest(server.desired().version(), server.memberVersion());
    links.askDirectory(claim.proxy, question, news -> onAnswer(claim, news));
  }

  /**
   * Handles the answer of a proxy.
   *
   * @param claim The claim of the proxy.
   * @param news What it knows, or an empty optional if it did not answer.
   */
  private void onAnswer(Claim claim, Optional<DirectoryUpdate> news) {
    asked = Optional.empty();
    log.event("directory-asked")
        .with("peer", claim.proxy)
        .with(
            "desired-version",
            news.flatMap(DirectoryUpdate::desired).map(DesiredState::version).orElse(0L))
        .with(
            "member-version",
            news.flatMap(DirectoryUpdate::members).map(MemberList::shown).orElse(0L))
        .with("outcome", news.isPresent() ? "answered" : "no answer")
        .write();
    news.ifPresentOrElse(this::apply, this::renewWatches);
    Optional<Claim> next = waiting;
    waiting = Optional.empty();
    next.ifPresent(this::ask);
  }

  /**
   * Takes what another proxy knows.
   *
   * @param news What it knows.
   */
  private void apply(DirectoryUpdate news) {
    news.desired().ifPresent(server::onDesiredState);
    news.members().ifPresent(server::onMembers);
    news.proxies()
        .forEach(
            (name, address) -> {
              if (Addresses.isAddress(address)) {
                peers.addPeer(name, Addresses.read(address));
              }
            });
  }

  /** Renews the own watches, since another proxy knows more but can't be asked. */
  private void renewWatches() {
    if (renewedUntil.filter(until -> until - loop.now() > 0).isEmpty()) {
      renewedUntil = Optional.of(loop.now() + RENEWAL_PAUSE_MILLIS * NANOS_IN_MILLI);
      renewal.run();
    }
  }

  /**
   * Checks if a claim tells of something that is not known here.
   *
   * <p>The versions that two watchers know may differ after the end of an entry though the members
   * are the same. Proxies of other failure domains are therefore not asked for members while the
   * store or a neighbour tells of them.
   *
   * @param claim The claim.
   * @return {@code true} if the other proxy is to be asked.
   */
  private boolean isNews(Claim claim) {
    boolean membersCount =
        server.memberVersion() == 0 || peers.isInSameDomain(claim.proxy) || !isSupplied();
    return claim.desiredVersion > server.desired().version()
        || (membersCount && claim.memberVersion > server.memberVersion());
  }

  /**
   * Checks if the store is watched by this proxy or by a neighbour.
   *
   * @return {@code true} if changes of the members come from within this failure domain.
   */
  private boolean isSupplied() {
    return access.get() == StoreWatchState.WATCHING
        || peers.storeWatchStatesInDomain().containsValue(StoreWatchState.WATCHING);
  }

  /**
   * The versions that a proxy says it knows.
   *
   * @param proxy The name of the proxy.
   * @param desiredVersion The version of the desired state.
   * @param memberVersion The version of the members.
   */
  private record Claim(String proxy, long desiredVersion, long memberVersion) {}
}
