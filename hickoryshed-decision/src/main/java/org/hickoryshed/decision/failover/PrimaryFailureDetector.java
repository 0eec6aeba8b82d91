package org.hickoryshed.decision.failover;

import java.util.Collection;
import java.util.Optional;
import org.hickoryshed.decision.topology.DatabaseView;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;

/**
 * What one candidate thinks of the primary of one database.
 *
 * <p>A suspicion is driven by one thread. It has no clock; each event carries its time.
 */
public final class PrimaryFailureDetector {

  /** The limits. */
  private final SuspicionTimeouts limits;

  /** The number of members of the database. */
  private final int members;

  /** The latest statuses. */
  private DatabaseView view = DatabaseView.EMPTY;

  /** The primary of the highest known term. */
  private Optional<MemberStatus> primary = Optional.empty();

  /** The time in milliseconds of the latest answer of the primary. */
  private long answeredAt;

  /** The time in milliseconds since which the primary refuses connections, or zero. */
  private long refusingSince;

  /** The time in milliseconds since which no primary is known. */
  private long missingSince;

  /** The highest index that a majority of the members was seen to hold. */
  private long replicated;

  /** The time in milliseconds at which replication last made progress or had nothing to do. */
  private long progressedAt;

  /**
   * Creates a new suspicion.
   *
   * @param limits The limits.
   * @param members The number of members of the database.
   * @param now The current time in milliseconds.
   */
  public PrimaryFailureDetector(SuspicionTimeouts limits, int members, long now) {
    this.limits = limits;
    this.members = members;
    missingSince = now;
    progressedAt = now;
  }

  /**
   * Handles the answer of a member.
   *
   * @param status The status of the member.
   * @param now The current time in milliseconds.
   */
  public void onStatus(MemberStatus status, long now) {
    view = view.with(status);
    Optional<MemberStatus> before = primary;
    primary = view.primaryOfHighestTerm();
    if (primary.isPresent() && !isSamePrimary(before, primary)) {
      answeredAt = now;
      refusingSince = 0;
      progressedAt = now;
    }
    if (primary.isEmpty() && before.isPresent()) {
      missingSince = now;
    }
    if (isPrimary(status.member())) {
      answeredAt = now;
      refusingSince = 0;
    }
    observeReplication(now);
  }

  /**
   * Handles a member that refused a connection.
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
   * Judges the primary.
   *
   * @param rank The rank of this candidate for the database, starting at zero.
   * @param now The current time in milliseconds.
   * @return The verdict.
   */
  public Verdict evaluate(int rank, long now) {
    long delay = rank * limits.rankStepMillis();
    if (primary.isEmpty()) {
      return judgeMissing(delay, now);
    }
    if (now - progressedAt >= limits.stalledMillis() + delay) {
      return Verdict.PROMOTE;
    }
    if (refusingSince > 0 && now - refusingSince >= limits.refusedMillis() + delay) {
      return Verdict.ASK_WITNESSES;
    }
    return now - answeredAt >= limits.silentMillis() + delay
        ? Verdict.ASK_WITNESSES
        : Verdict.TRUST;
  }

  /**
   * Judges a database whose primary has not answered this observer in the highest term.
   *
   * @param delay The time in milliseconds that this candidate waits longer than the first.
   * @param now The current time in milliseconds.
   * @return The verdict.
   */
  private Verdict judgeMissing(long delay, long now) {
    boolean followed =
        view.statuses().values().stream()
            .anyMatch(
                status -> status.term() == view.highestTerm() && status.primary().isPresent());
    long patience = followed ? limits.silentMillis() : limits.refusedMillis();
    if (now - missingSince < patience + delay) {
      return Verdict.TRUST;
    }
    return followed ? Verdict.ASK_WITNESSES : Verdict.PROMOTE;
  }

  /**
   * Judges whether this observer reaches a member, as a witness for another candidate.
   *
   * @param member The name of the member.
   * @param now The current time in milliseconds.
   * @return {@code true} if the member is the primary and answered lately.
   */
  public boolean isPrimaryReachable(String member, long now) {
    boolean refusing = refusingSince > 0 && now - refusingSince >= limits.refusedMillis();
    return isPrimary(member) && !refusing && now - answeredAt < limits.silentMillis();
  }

  /**
   * Returns the latest statuses.
   *
   * @return The latest statuses.
   */
  public DatabaseView view() {
    return view;
  }

  /**
   * Returns the primary of the highest known term.
   *
   * @return The status of the primary or an empty optional.
   */
  public Optional<MemberStatus> primary() {
    return primary;
  }

  /**
   * Returns the name of the primary that is judged.
   *
   * @return The name of the latest primary that any member knows, or an empty text.
   */
  public String primaryName() {
    return view.primaryName().orElse("");
  }

  /**
   * Decides whether witnesses confirm a suspicion.
   *
   * @param unreachable The failure domains in which the primary is not reached, this one included.
   * @param domains The number of all failure domains.
   * @return {@code true} if a majority of the failure domains does not reach the primary.
   */
  public static boolean isConfirmed(Collection<String> unreachable, int domains) {
    return unreachable.stream().distinct().count() >= Majority.of(domains);
  }

  /**
   * Observes whether replication makes progress.
   *
   * @param now The current time in milliseconds.
   */
  private void observeReplication(long now) {
    if (primary.isEmpty()) {
      return;
    }
    long term = primary.get().logTerm();
    long majority =
        view.statuses().values().stream()
            .filter(status -> status.logTerm() == term)
            .map(MemberStatus::held)
            .sorted((left, right) -> Long.compare(right, left))
            .skip(Majority.of(members) - 1L)
            .findFirst()
            .orElse(0L);
    if (majority > replicated || majority >= primary.get().held()) {
      progressedAt = now;
    }
    replicated = Math.max(replicated, majority);
  }

  /**
   * Checks if a member is the known primary.
   *
   * @param member The name of the member.
   * @return {@code true} if the member is the primary of the highest known term.
   */
  private boolean isPrimary(String member) {
    return primary.isPresent() && primary.get().member().equals(member);
  }

  /**
   * Checks if two observations are of one primary in one term.
   *
   * @param left The one observation.
   * @param right The other observation.
   * @return {@code true} if name and term are the same.
   */
  private static boolean isSamePrimary(Optional<MemberStatus> left, Optional<MemberStatus> right) {
    return left.isPresent()
        && right.isPresent()
        && left.get().member().equals(right.get().member())
        && left.get().term() == right.get().term();
  }

  /** A verdict on a primary. */
  public enum Verdict {

    /** The primary is trusted. */
    TRUST,

    /** The primary is suspected from here: other failure domains are asked. */
    ASK_WITNESSES,

    /** The members agree that there is no working primary. */
    PROMOTE
  }
}
