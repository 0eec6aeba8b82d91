package org.hickoryshed.session.promotion;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import org.hickoryshed.decision.promotion.PromotionCatchUp;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Prepares promotions of a database whose primary acknowledges a commit only once replicas hold it,
 * so that the promoted member holds all acknowledged commits.
 *
 * <p>The choice of a member is outdated as soon as the primary, which may be alive, acknowledges a
 * commit that another replica confirmed. Therefore the proxies stop using the primary first; see
 * {@link PrimaryFencing}. A little later they pass on no success of it any more, and the promotion
 * is requested once the member has received all that the others have.
 */
final class PromotionPreparation {

  /**
   * The time from the announcement of a promotion until the proxies that it reached pass on no
   * success of the current primary any more, in milliseconds. It covers the way of the announcement
   * and the time for which a proxy still does so.
   */
  private static final long SETTLE_MILLIS = Database.MIN_PROMOTION_MILLIS + 50;

  /** How often a promotion is announced, since datagrams get lost. */
  private static final int ANNOUNCEMENTS = 3;

  private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 20;

  /** The pause between two surveys of the members, in milliseconds. */
  private static final long SURVEY_INTERVAL_MILLIS = 10;

  /** The time after which a preparation is given up, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 700;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MemberContext context;

  private final Function<String, Optional<Database>> databases;

  /**
   * Creates the preparation of promotions in all databases.
   *
   * @param context The dependencies that the connection pools of all members share.
   * @param databases Finds a database by the name of its pool.
   */
  PromotionPreparation(MemberContext context, Function<String, Optional<Database>> databases) {
    this.context = context;
    this.databases = databases;
  }

  /**
   * Announces a promotion and waits until it may be requested. Must not be called on the event
   * loop.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member that is to be promoted.
   * @param announce Tells all proxies, this one included, to stop using the current primary; called
   *     on the event loop.
   * @return {@code false} if the member does not hold all acknowledged commits in time, so that it
   *     must not be promoted.
   */
  boolean prepare(String pool, String member, Runnable announce) {
    CompletableFuture<Boolean> prepared = new CompletableFuture<>();
    boolean submitted =
        context
            .loop()
            .submit(
                () -> {
                  announceRepeatedly(announce, ANNOUNCEMENTS);
                  settle(pool, member, prepared);
                });
    return submitted && await(prepared);
  }

  private static boolean await(CompletableFuture<Boolean> prepared) {
    try {
      return prepared.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException exception) {
      return false;
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private void announceRepeatedly(Runnable announce, int times) {
    announce.run();
    if (times > 1) {
      context
          .loop()
          .schedule(ANNOUNCEMENT_INTERVAL_MILLIS, () -> announceRepeatedly(announce, times - 1));
    }
  }

  /** Waits until the announcement has its effect, then looks at the logs of the members. */
  private void settle(String pool, String member, CompletableFuture<Boolean> prepared) {
    Optional<Database> database = databases.apply(pool);
    if (database.isEmpty()) {
      prepared.complete(false);
      return;
    }
    long deadline = context.loop().now() + TIMEOUT_MILLIS * NANOS_PER_MILLI;
    context
        .loop()
        .schedule(SETTLE_MILLIS, () -> survey(database.get(), member, deadline, prepared));
  }

  private void survey(
      Database database, String member, long deadline, CompletableFuture<Boolean> prepared) {
    new MemberStatusSurvey(database)
        .start(
            reports -> {
              PromotionCatchUp catchUp = toCatchUp(database, reports);
              if (catchUp.holdsAllCommits(member)) {
                log(reports, member, true);
                prepared.complete(true);
              } else if (context.loop().now() - deadline > 0) {
                log(reports, member, false);
                prepared.complete(false);
              } else {
                context
                    .loop()
                    .schedule(
                        SURVEY_INTERVAL_MILLIS, () -> survey(database, member, deadline, prepared));
              }
            });
  }

  private static PromotionCatchUp toCatchUp(
      Database database, Map<MemberConnectionPool, Optional<MemberStatusReport>> reports) {
    PromotionCatchUp.Builder catchUp = PromotionCatchUp.builder(database.promotionQuorum());
    reports.forEach(
        (pool, report) ->
            report.ifPresent(
                known -> {
                  if (known.primary()) {
                    catchUp.addPrimary(known.end());
                  } else {
                    catchUp.addReplica(pool.entry().id(), known.end());
                  }
                }));
    return catchUp.build();
  }

  private void log(
      Map<MemberConnectionPool, Optional<MemberStatusReport>> reports,
      String member,
      boolean ready) {
    context
        .log()
        .event("takeover-prepared")
        .with("member", member)
        .with("reports", MemberStatusSurvey.describe(reports))
        .with("holds-all-commits", ready)
        .write();
  }
}
