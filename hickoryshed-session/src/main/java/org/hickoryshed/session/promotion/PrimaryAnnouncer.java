package org.hickoryshed.session.promotion;

import java.util.Optional;
import java.util.function.Function;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;
import org.hickoryshed.session.wire.MemberStatusReport;

/** Spreads who leads between the proxies, so that none has to wait for the directory. */
final class PrimaryAnnouncer {

  /** The longest time of one question in milliseconds. */
  private static final long QUESTION_MILLIS = 150;

  /** The pause between two questions whether the new primary leads, in milliseconds. */
  private static final long LEAD_LOOK_MILLIS = 60;

  /** The number of such questions. */
  private static final int LEAD_LOOKS = 10;

  /** What all pools share. */
  private final MemberContext context;

  /** The other proxies. */
  private final PeerNetwork peers;

  /** Finds the databases by the names of their pools. */
  private final Function<String, Optional<Database>> databases;

  /**
   * Creates the news.
   *
   * @param context What all pools share.
   * @param peers The other proxies.
   * @param databases Finds the databases by the names of their pools.
   */
  PrimaryAnnouncer(
      MemberContext context, PeerNetwork peers, Function<String, Optional<Database>> databases) {
    this.context = context;
    this.peers = peers;
    this.databases = databases;
  }

  /**
   * Tells a proxy that asks about a replaced primary who leads now.
   *
   * @param from The name of the proxy.
   * @param question The question.
   */
  void answer(String from, PeerMessage.Question question) {
    Optional<Database> database = databases.apply(question.pool());
    Optional<String> leader =
        database.flatMap(Database::claimedPrimary).map(pool -> pool.entry().id());
    if (leader.isPresent()
        && !leader.get().equals(question.member())
        && database.get().provenTerm().isPresent()) {
      peers.send(
          from,
          new PeerMessage.Lead(
              question.pool(), leader.get(), database.get().provenTerm().getAsLong()));
    }
  }

  /**
   * Tells the other proxies who leads, unless it is known.
   *
   * @param pool The pool.
   * @param member The identifier of the member.
   * @param term The term that it leads.
   */
  void spread(String pool, String member, long term) {
    boolean news =
        databases
            .apply(pool)
            .map(database -> database.notePrimary(member, term, "its status"))
            .orElse(false);
    if (news) {
      announce(new PeerMessage.Lead(pool, member, term));
    }
  }

  /**
   * Sends a message to all proxies that are alive.
   *
   * @param message The message.
   */
  void announce(PeerMessage message) {
    peers.alivePeers().forEach(peer -> peers.send(peer, message));
  }

  /**
   * Asks the member that is to lead until it does, so that no proxy has to wait for the directory.
   *
   * @param pool The pool.
   * @param member The identifier of the member.
   */
  void await(String pool, String member) {
    ask(pool, member, LEAD_LOOKS);
  }

  /**
   * Asks the member that is to lead, and again while it does not.
   *
   * @param pool The pool.
   * @param member The identifier of the member.
   * @param looks The number of questions that are left.
   */
  private void ask(String pool, String member, int looks) {
    Optional<MemberPool> found =
        databases.apply(pool).stream()
            .flatMap(database -> database.pools().stream())
            .filter(candidate -> candidate.entry().id().equals(member))
            .findFirst();
    if (looks == 0 || found.isEmpty() || !found.get().isReachable()) {
      return;
    }
    found
        .get()
        .queries()
        .askStatus(
            QUESTION_MILLIS,
            report -> {
              if (report.filter(MemberStatusReport::primary).isPresent()) {
                spread(pool, member, report.get().term());
              } else {
                context.loop().schedule(LEAD_LOOK_MILLIS, () -> ask(pool, member, looks - 1));
              }
            });
  }
}
