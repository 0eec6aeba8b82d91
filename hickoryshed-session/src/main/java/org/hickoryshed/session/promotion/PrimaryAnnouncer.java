package org.hickoryshed.session.promotion;

import java.util.Optional;
import java.util.function.Function;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;
import org.hickoryshed.session.wire.MemberCommand;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Tells the other proxies which member is the primary, so that they need not wait until the
 * directory shows it.
 *
 * <p>All methods run on the event loop.
 */
final class PrimaryAnnouncer {

  /** The time for a member to report its status, in milliseconds. */
  private static final long STATUS_TIMEOUT_MILLIS = 150;

  /** The pause between two polls of a member that is being promoted, in milliseconds. */
  private static final long POLL_INTERVAL_MILLIS = 60;

  /** The number of polls after which the announcement of a new primary is given up. */
  private static final int MAX_POLLS = 40;

  private final MemberContext context;

  private final PeerNetwork peers;

  private final Function<String, Optional<Database>> databases;

  PrimaryAnnouncer(
      MemberContext context, PeerNetwork peers, Function<String, Optional<Database>> databases) {
    this.context = context;
    this.peers = peers;
    this.databases = databases;
  }

  /**
   * Tells a proxy that probes a replaced primary which member is the primary now.
   *
   * <p>Sends nothing if this proxy has no proof of another primary.
   *
   * @param from The name of the requesting proxy.
   * @param request The request, which names the primary known to that proxy.
   */
  void correctOutdatedPrimary(String from, PeerMessage.PrimaryProbeRequest request) {
    Optional<Database> database = databases.apply(request.pool());
    Optional<String> primary =
        database.flatMap(Database::claimedPrimary).map(pool -> pool.entry().id());
    if (primary.isPresent()
        && !primary.get().equals(request.member())
        && database.get().provenTerm().isPresent()) {
      peers.send(
          from,
          new PeerMessage.PrimaryProven(
              request.pool(), primary.get(), database.get().provenTerm().getAsLong()));
    }
  }

  /**
   * Records the primary here and tells the other proxies, unless it was known already.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the primary.
   * @param term The term in which it is the primary.
   */
  void announcePrimary(String pool, String member, long term) {
    boolean changed =
        databases
            .apply(pool)
            .map(database -> database.recordPrimary(member, term, "its status"))
            .orElse(false);
    if (changed) {
      broadcast(new PeerMessage.PrimaryProven(pool, member, term));
    }
  }

  /** Sends a message to all proxies that are alive. */
  void broadcast(PeerMessage message) {
    peers.alivePeers().forEach(peer -> peers.send(peer, message));
  }

  /**
   * Polls a member that is being promoted until it reports that it is the primary, then announces
   * it.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member.
   */
  void awaitPrimary(String pool, String member) {
    poll(pool, member, MAX_POLLS);
  }

  private void poll(String pool, String member, int pollsLeft) {
    Optional<MemberConnectionPool> memberPool =
        databases.apply(pool).stream()
            .flatMap(database -> database.connectionPools().stream())
            .filter(candidate -> candidate.entry().id().equals(member))
            .findFirst();
    if (pollsLeft == 0 || memberPool.isEmpty() || !memberPool.get().isReachable()) {
      return;
    }
    memberPool
        .get()
        .requests()
        .command(
            new MemberCommand.ReportStatus(),
            STATUS_TIMEOUT_MILLIS,
            report -> {
              if (report.filter(MemberStatusReport::primary).isPresent()) {
                announcePrimary(pool, member, report.get().term());
              } else {
                context
                    .loop()
                    .schedule(POLL_INTERVAL_MILLIS, () -> poll(pool, member, pollsLeft - 1));
              }
            });
  }
}
