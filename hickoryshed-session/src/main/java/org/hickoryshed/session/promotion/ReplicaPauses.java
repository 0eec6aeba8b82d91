package org.hickoryshed.session.promotion;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Function;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.wire.MemberCommand;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Lets replicas receive commits again that were paused for a promotion which did not take place.
 *
 * <p>A promotion that takes effect ends the pauses of its database by itself. The proxy that paused
 * replicas resumes them as soon as it knows that it requests no promotion. If it ends before, any
 * proxy that knows of the recorded promotion does so some time later.
 *
 * <p>All methods run on the event loop.
 */
final class ReplicaPauses {

  /** The time after a record from which on its promotion counts as abandoned, in milliseconds. */
  private static final long ABANDONED_MILLIS = 6000;

  /** The upper bound of a random delay, so that one proxy acts first, in milliseconds. */
  private static final long MAX_JITTER_MILLIS = 2000;

  private static final long RESUME_TIMEOUT_MILLIS = 300;

  private final MemberContext context;

  private final Function<String, Optional<Database>> databases;

  /** The replicas that this process paused, by the name of the pool. */
  private final Map<String, Set<MemberConnectionPool>> paused = new HashMap<>();

  /** The number of promotions of each pool that this process heard of, by the name of the pool. */
  private final Map<String, Integer> heardPromotions = new HashMap<>();

  /**
   * Creates an object that knows of no pause.
   *
   * @param context The dependencies that the connection pools of all members share.
   * @param databases Finds a database by the name of its pool.
   */
  ReplicaPauses(MemberContext context, Function<String, Optional<Database>> databases) {
    this.context = context;
    this.databases = databases;
  }

  /** Records that this process paused a replica. */
  void onPaused(MemberConnectionPool replica) {
    paused.computeIfAbsent(replica.entry().pool(), pool -> new HashSet<>()).add(replica);
  }

  /** Resumes the replicas of a pool that this process paused: it does not request the promotion. */
  void resume(String pool) {
    Optional.ofNullable(paused.remove(pool)).orElse(Set.of()).forEach(this::sendResume);
  }

  /** Forgets the pauses of a pool, because a promotion ends them. */
  void onPromotionAccepted(String pool) {
    paused.remove(pool);
  }

  /**
   * Resumes the replicas of a pool later, unless the recorded promotion, or a later one, takes
   * place.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member that is to be promoted.
   */
  void onPromotionRecorded(String pool, String member) {
    if (databases.apply(pool).filter(ReplicaPauses::mayBePaused).isEmpty()) {
      return;
    }
    int number = heardPromotions.merge(pool, 1, Integer::sum);
    long jitterMillis = ThreadLocalRandom.current().nextLong(MAX_JITTER_MILLIS);
    context
        .loop()
        .schedule(
            ABANDONED_MILLIS + jitterMillis,
            () -> {
              if (heardPromotions.get(pool) == number) {
                databases
                    .apply(pool)
                    .filter(database -> isAbandoned(database, member))
                    .ifPresent(this::resumeAll);
              }
            });
  }

  private static boolean mayBePaused(Database database) {
    return database.promotionQuorum().protectsCommits();
  }

  /** Checks if another member than the one that was to be promoted is the primary. */
  private static boolean isAbandoned(Database database, String member) {
    return mayBePaused(database)
        && database.claimedPrimary().filter(pool -> !pool.entry().id().equals(member)).isPresent();
  }

  private void resumeAll(Database database) {
    new MemberStatusSurvey(database)
        .start(
            reports ->
                reports.forEach(
                    (replica, report) ->
                        report
                            .filter(MemberStatusReport::isPaused)
                            .ifPresent(r -> sendResume(replica))));
  }

  private void sendResume(MemberConnectionPool replica) {
    replica
        .requests()
        .command(
            new MemberCommand.Resume(),
            RESUME_TIMEOUT_MILLIS,
            report ->
                context
                    .log()
                    .event("replica-resumed")
                    .with("member", replica.entry().id())
                    .with("pool", replica.entry().pool())
                    .with("report", report)
                    .write());
  }
}
