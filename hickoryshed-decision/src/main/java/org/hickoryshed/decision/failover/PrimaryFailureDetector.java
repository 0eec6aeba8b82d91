package org.hickoryshed.decision.failover;

import java.util.Collection;
import java.util.Optional;
import org.hickoryshed.decision.topology.DatabaseView;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;

/**
 * Detects the failure of the primary of one database from the point of view of one failover
 * candidate.
 *
 * <p>The detector is fed with the results of probes of all members. It has no clock, each event
 * carries its time. It is not thread-safe; the caller must serialize access.
 */
public final class PrimaryFailureDetector {

  private final SuspicionTimeouts timeouts;

  /** The number of members of the database. */
  private final int members;

  /** The latest statuses of the members. */
  private DatabaseView view = DatabaseView.EMPTY;

  /** The primary of the highest known term. */
  private Optional<MemberStatus> primary = Optional.empty();

  /** The time in milliseconds of the latest response of the primary. */
  private long respondedAt;

  /** The time in milliseconds since which the primary refuses connections, zero if it does not. */
  private long refusingSince;

  /** The time in milliseconds since which no primary is known. */
  private long missingSince;

  /** The highest log index that a majority of the members was seen to hold. */
  private long replicatedIndex;

  /** The time in milliseconds at which replication last advanced or had caught up. */
  private long progressedAt;

  /**
   * Creates a detector that knows no primary yet.
   *
   * @param timeouts The timeouts.
   * @param members The number of members of the database.
   * @param now The current time in milliseconds.
   */
  public PrimaryFailureDetector(SuspicionTimeouts timeouts, int members, long now) {
    this.timeouts = timeouts;
    this.members = members;
    missingSince = now;
    progressedAt = now;
  }

  /**
   * Handles the status with which a member responded to a probe. The timeouts start anew when the
   * response reveals another primary or another term.
   *
   * @param status The status of the member.
   * @param now The current time in milliseconds.
   */
  public void onStatus(MemberStatus status, long now) {
    view = view.with(status);
    Optional<MemberStatus> before = primary;
    primary = view.primaryOfHighestTerm();
    if (primary.isPresent() && !isSamePrimary(before, primary)) {
      respondedAt = now;
      refusingSince = 0;
      progressedAt = now;
    }
    if (primary.isEmpty() && before.isPresent()) {
      missingSince = now;
    }
    if (isPrimary(status.member())) {
      respondedAt = now;
      refusingSince = 0;
    }
    observeReplication(now);
  }

  /**
   * Handles a probe whose connection was refused.
   *
   * @param member The name of the member.
   * @param now The current time in milliseconds.
   */
  public void onConnectionRefused(String member, long now) {
    if (isPrimary(member) && refusingSince == 0) {
      refusingSince = now;
    }
  }

  /**
   * Decides what this candidate does about the primary.
   *
   * <p>A primary that responds but does not replicate is replaced without requests to witnesses,
   * because the members themselves report it.
   *
   * @param rank The rank of this candidate for the database, starting at zero; each rank waits
   *     longer than the one before it.
   * @param now The current time in milliseconds.
   * @return The verdict.
   */
  public Verdict evaluate(int rank, long now) {
    long delay = rank * timeouts.rankStepMillis();
    if (primary.isEmpty()) {
      return evaluateMissingPrimary(delay, now);
    }
    if (now - progressedAt >= timeouts.stalledMillis() + delay) {
      return Verdict.PROMOTE;
    }
    if (refusingSince > 0 && now - refusingSince >= timeouts.refusedMillis() + delay) {
      return Verdict.ASK_WITNESSES;
    }
    return now - respondedAt >= timeouts.silentMillis() + delay
        ? Verdict.ASK_WITNESSES
        : Verdict.TRUST;
  }

  /**
   * Decides for a database whose primary of the highest term has not responded to this candidate.
   *
   * <p>If a member of that term names a primary, only this candidate may be cut off from it, so
   * witnesses are consulted. Otherwise no member knows a primary of that term and one is promoted.
   */
  private Verdict evaluateMissingPrimary(long delay, long now) {
    boolean followed =
        view.statuses().values().stream()
            .anyMatch(
                status -> status.term() == view.highestTerm() && status.primary().isPresent());
    long timeout = followed ? timeouts.silentMillis() : timeouts.refusedMillis();
    if (now - missingSince < timeout + delay) {
      return Verdict.TRUST;
    }
    return followed ? Verdict.ASK_WITNESSES : Verdict.PROMOTE;
  }

  /**
   * Responds to another candidate as a witness: whether a member is the primary and is reachable
   * from here.
   *
   * @param member The name of the member.
   * @param now The current time in milliseconds.
   * @return {@code true} if the member is the known primary, responded within the silence timeout
   *     and does not persistently refuse connections.
   */
  public boolean isPrimaryReachable(String member, long now) {
    boolean refusing = refusingSince > 0 && now - refusingSince >= timeouts.refusedMillis();
    return isPrimary(member) && !refusing && now - respondedAt < timeouts.silentMillis();
  }

  /**
   * Returns the latest statuses of the members.
   *
   * @return The latest statuses.
   */
  public DatabaseView view() {
    return view;
  }

  /**
   * Returns the primary that has responded in the highest known term.
   *
   * @return The status of the primary, empty if none has responded in that term.
   */
  public Optional<MemberStatus> primary() {
    return primary;
  }

  /**
   * Returns the name of the primary that the verdict is about. Unlike {@link #primary()} it
   * includes a primary that is known from other members only.
   *
   * @return The name of the latest primary that any member knows, an empty string if there is none.
   */
  public String primaryName() {
    return view.primaryName().orElse("");
  }

  /**
   * Decides whether the witnesses confirm that the primary has failed.
   *
   * @param unreachable The failure domains from which the primary is not reachable, this one
   *     included; duplicates count once.
   * @param domains The total number of failure domains.
   * @return {@code true} if the primary is unreachable from a majority of the failure domains.
   */
  public static boolean isConfirmed(Collection<String> unreachable, int domains) {
    return unreachable.stream().distinct().count() >= Majority.of(domains);
  }

  /** Records whether a majority of the members keeps up with the log of the primary. */
  private void observeReplication(long now) {
    if (primary.isEmpty()) {
      return;
    }
    long term = primary.get().logTerm();
    long majorityIndex =
        view.statuses().values().stream()
            .filter(status -> status.logTerm() == term)
            .map(MemberStatus::held)
            .sorted((left, right) -> Long.compare(right, left))
            .skip(Majority.of(members) - 1L)
            .findFirst()
            .orElse(0L);
    if (majorityIndex > replicatedIndex || majorityIndex >= primary.get().held()) {
      progressedAt = now;
    }
    replicatedIndex = Math.max(replicatedIndex, majorityIndex);
  }

  private boolean isPrimary(String member) {
    return primary.isPresent() && primary.get().member().equals(member);
  }

  /** Checks whether two observations show the same primary in the same term. */
  private static boolean isSamePrimary(Optional<MemberStatus> left, Optional<MemberStatus> right) {
    return left.isPresent()
        && right.isPresent()
        && left.get().member().equals(right.get().member())
        && left.get().term() == right.get().term();
  }

  /** The action that a candidate takes about the primary. */
  public enum Verdict {

    /** Nothing: the primary is considered healthy, or its timeout has not passed yet. */
    TRUST,

    /** Ask witnesses in the other failure domains, as only this candidate's connection may fail. */
    ASK_WITNESSES,

    /** Promote a new primary at once: the members report that there is no working one. */
    PROMOTE
  }
}
