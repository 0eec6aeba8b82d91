package org.hickoryshed.session.promotion;

import java.util.Optional;
import java.util.function.Function;
import org.hickoryshed.decision.promotion.PrimaryLease;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.wire.MemberCommand;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Keeps a replaced primary from running statements where the platform does not fence it, and one
 * that is about to be replaced from acknowledging commits that its successor may lack.
 *
 * <p>Without fencing by the platform, a primary that was replaced goes on as one until it is told
 * to step down or learns of the new term. A write that it still commits is lost. Three measures
 * prevent that:
 *
 * <ul>
 *   <li>As soon as a promotion is recorded, all proxies stop using the current primary.
 *   <li>As soon as the promotion may take effect, a leaving primary is told to step down. This also
 *       stops proxies that the announcement does not reach.
 *   <li>A member that claims to be the primary although another one proved a later term is told to
 *       step down when it is reachable again.
 * </ul>
 *
 * <p>All methods run on the event loop. Unless they say otherwise, they have no effect if the
 * platform fences replaced primaries.
 */
final class PrimaryFencing {

  /**
   * The time for which the current primary is not used after a promotion was recorded, in
   * milliseconds. It covers the promotion; after a failed one, the primary is used again.
   */
  private static final long SUSPENSION_MILLIS = 2000;

  /**
   * The same where the platform does not fence replaced primaries. It covers also the time for
   * which the promotion waits for proxies that do not respond.
   */
  private static final long PROMISE_MILLIS = SUSPENSION_MILLIS + PrimaryLease.VALID_MILLIS;

  /** The time for a member to respond to the request to step down, in milliseconds. */
  private static final long STEP_DOWN_TIMEOUT_MILLIS = 300;

  private final MemberContext context;

  private final Function<String, Optional<Database>> databases;

  /**
   * Creates the fencing of all databases.
   *
   * @param context The dependencies that the connection pools of all members share.
   * @param databases Finds a database by the name of its pool.
   */
  PrimaryFencing(MemberContext context, Function<String, Optional<Database>> databases) {
    this.context = context;
    this.databases = databases;
  }

  /**
   * Stops the use of the current primary, because a promotion of another member was recorded.
   *
   * <p>Where replicas confirm commits, this has an effect also if the platform fences replaced
   * primaries: what the current primary still acknowledges may be confirmed by a replica that is
   * not the one to be promoted.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member that is to be promoted.
   */
  void onPromotionRecorded(String pool, String member) {
    databases
        .apply(pool)
        .filter(database -> !isFenced() || database.promotionQuorum().protectsCommits())
        .ifPresent(
            database ->
                database.suspendPrimaryUnless(
                    member, isFenced() ? SUSPENSION_MILLIS : PROMISE_MILLIS));
  }

  /** Tells a leaving primary to step down, because a promotion may take effect from now on. */
  void depose(Incumbent incumbent) {
    if (!isFenced()) {
      requestStepDown(incumbent.pool, incumbent.term + 1);
    }
  }

  /**
   * Tells each reachable member to step down that claims to be the primary although another member
   * proved a later term. Called periodically.
   */
  void deposeReplacedPrimaries(Database database) {
    if (isFenced() || database.provenTerm().isEmpty()) {
      return;
    }
    Optional<MemberConnectionPool> primary = database.claimedPrimary();
    database.connectionPools().stream()
        .filter(pool -> pool.entry().primary() && pool.isReachable())
        .filter(pool -> primary.filter(pool::equals).isEmpty())
        .forEach(pool -> requestStepDown(pool, database.provenTerm().getAsLong()));
  }

  private boolean isFenced() {
    return context.fencedByPlatform().getAsBoolean();
  }

  private void requestStepDown(MemberConnectionPool pool, long term) {
    pool.requests()
        .command(
            new MemberCommand.StepDown(term),
            STEP_DOWN_TIMEOUT_MILLIS,
            report -> logStepDown(pool, term, report));
  }

  private void logStepDown(
      MemberConnectionPool pool, long term, Optional<MemberStatusReport> report) {
    context
        .log()
        .event("step-down-requested")
        .with("member", pool.entry().id())
        .with("pool", pool.entry().pool())
        .with("term", term)
        .with("report", report)
        .write();
  }

  /**
   * A primary that is to be replaced while it is reachable.
   *
   * @param pool The connections to the member.
   * @param term The term in which it is the primary.
   */
  record Incumbent(MemberConnectionPool pool, long term) {}
}
