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
import org.hickoryshed.session.wire.MemberCommand;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Prepares promotions of a database whose primary acknowledges a commit only once replicas hold it,
 * so that the promoted member holds all acknowledged commits.
 *
 * <p>The choice of a member is outdated as soon as the primary, which may be alive, acknowledges a
 * commit that another replica confirmed. Therefore the proxies stop using the primary first; see
 * {@link PrimaryFencing}. A little later they pass on no success of it any more. A proxy that does
 * not hear of the promotion goes on, so the other replicas are paused: then no commit is confirmed
 * without the member. The promotion is requested once it has received all that the others have.
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

  /** The interval between two surveys of the members, in milliseconds. */
  private static final long SURVEY_INTERVAL_MILLIS = 10;

  /** The time after which a preparation is given up, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 700;

  private final MemberContext context;

  private final Function<String, Optional<Database>> databases;

  private final ReplicaPauses pauses;

  /**
   * Creates the preparation of promotions in all databases.
   *
   * @param context The dependencies that the connection pools of all members share.
   * @param databases Finds a database by the name of its pool.
   * @param pauses Is told of the replicas that are paused.
   */
  PromotionPreparation(
      MemberContext context, Function<String, Optional<Database>> databases, ReplicaPauses pauses) {
    this.context = context;
    this.databases = databases;
    this.pauses = pauses;
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
                  databases
                      .apply(pool)
                      .ifPresentOrElse(
                          database -> new Attempt(database, pool, member, prepared).start(),
                          () -> prepared.complete(false));
                });
    return submitted && await(prepared);
  }

  private static boolean await(CompletableFuture<Boolean> prepared) {
    try {
      return prepared.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException exception) {
      // The attempt stops when it finds this.
      prepared.complete(false);
      return prepared.join();
    } catch (InterruptedException exception) {
      prepared.complete(false);
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

  private static PromotionCatchUp toCatchUp(
      Database database, Map<MemberConnectionPool, Optional<MemberStatusReport>> reports) {
    PromotionCatchUp.Builder catchUp = PromotionCatchUp.builder(database.promotionQuorum());
    reports.forEach(
        (pool, report) ->
            report.ifPresent(
                known -> {
                  if (known.primary()) {
                    catchUp.addPrimary(known.end());
                  } else if (known.isPaused()) {
                    catchUp.addPausedReplica(pool.entry().id(), known.end());
                  } else {
                    catchUp.addReplica(pool.entry().id(), known.end());
                  }
                }));
    return catchUp.build();
  }

  /** One attempt to prepare a promotion; confined to the thread of the event loop. */
  private final class Attempt {

    private final Database database;

    private final String pool;

    /** The identifier of the member that is to be promoted. */
    private final String chosen;

    /** Completed by this attempt, or by the thread that waits for it no longer. */
    private final CompletableFuture<Boolean> prepared;

    private Attempt(
        Database database, String pool, String chosen, CompletableFuture<Boolean> prepared) {
      this.database = database;
      this.pool = pool;
      this.chosen = chosen;
      this.prepared = prepared;
    }

    /** Waits until the announcement has its effect, then looks at the logs of the members. */
    private void start() {
      context
          .loop()
          .schedule(SETTLE_MILLIS, () -> new MemberStatusSurvey(database).start(this::pauseOthers));
    }

    /** Pauses the replicas that are not chosen, and asks all members for the ends of their logs. */
    private void pauseOthers(Map<MemberConnectionPool, Optional<MemberStatusReport>> reports) {
      long nextTerm =
          1
              + reports.values().stream()
                  .flatMap(Optional::stream)
                  .mapToLong(MemberStatusReport::term)
                  .max()
                  .orElse(0);
      new MemberStatusSurvey(
              database,
              member -> commandTo(member, reports.getOrDefault(member, Optional.empty()), nextTerm))
          .start(this::compareLogs);
    }

    private MemberCommand commandTo(
        MemberConnectionPool member, Optional<MemberStatusReport> report, long nextTerm) {
      if (member.entry().id().equals(chosen)) {
        // An earlier attempt that chose another member may have paused this one.
        boolean paused = report.filter(MemberStatusReport::isPaused).isPresent();
        return paused ? new MemberCommand.Resume() : new MemberCommand.ReportStatus();
      }
      return database.claimedPrimary().filter(member::equals).isPresent()
          ? new MemberCommand.ReportStatus()
          : new MemberCommand.Pause(nextTerm);
    }

    private void compareLogs(Map<MemberConnectionPool, Optional<MemberStatusReport>> reports) {
      reports.forEach(
          (member, report) ->
              report
                  .filter(MemberStatusReport::isPaused)
                  .ifPresent(known -> pauses.onPaused(member)));
      if (prepared.isDone()) {
        pauses.resume(pool);
        log(reports, false);
      } else if (toCatchUp(database, reports).holdsAllCommits(chosen)) {
        log(reports, true);
        prepared.complete(true);
      } else {
        context.loop().schedule(SURVEY_INTERVAL_MILLIS, () -> pauseOthers(reports));
      }
    }

    private void log(
        Map<MemberConnectionPool, Optional<MemberStatusReport>> reports, boolean ready) {
      context
          .log()
          .event("takeover-prepared")
          .with("member", chosen)
          .with("reports", MemberStatusSurvey.describe(reports))
          .with("holds-all-commits", ready)
          .write();
    }
  }
}
