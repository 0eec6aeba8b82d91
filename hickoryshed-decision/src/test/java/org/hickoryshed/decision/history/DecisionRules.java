package org.hickoryshed.decision.history;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.IntStream;
import org.hickoryshed.decision.commit.Confirmation;
import org.hickoryshed.decision.commit.ReadBarrier;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.failover.Promotion;
import org.hickoryshed.decision.topology.DatabaseView;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;

/**
 * The decisions that a history is run under, so that a broken one can take the place of each.
 *
 * @param confirms Whether statuses confirm a position.
 * @param covers Whether the applied position of a member covers a floor.
 * @param chooses Which seals member is promoted.
 * @param barrier Which position a read without a session must reach.
 */
record Policy(
    BiPredicate<LogPosition, Collection<MemberStatus>> confirms,
    BiPredicate<MemberStatus, LogPosition> covers,
    Chooser chooses,
    Barrier barrier) {

  static final int MEMBERS = 3;

  private static final Database DATABASE =
      new Database(
          "a",
          IntStream.rangeClosed(1, MEMBERS)
              .mapToObj(number -> new Member("a-" + number, "", "d-" + number, "r"))
              .toList());

  static final Policy PRODUCT =
      new Policy(
          (position, statuses) ->
              Confirmation.of(position, statuses, MEMBERS) == Confirmation.CONFIRMED,
          (status, floor) -> status.appliedPosition().covers(floor),
          seals -> Promotion.choose(DATABASE, seals, "", Set.of()),
          (fresh, stale) -> ReadBarrier.of(fresh, MEMBERS));

  /** Acknowledges what the primary alone reports. */
  Policy acknowledgingAtOnce() {
    return new Policy((position, statuses) -> true, covers, chooses, barrier);
  }

  /** Counts a member that holds the index in any term. */
  Policy confirmingWithoutTerm() {
    return new Policy(
        (position, statuses) ->
            statuses.stream().filter(status -> status.held() >= position.index()).count() >= 2,
        covers,
        chooses,
        barrier);
  }

  /** Counts a member whose last entry is of the term, also if a later primary sent it. */
  Policy confirmingByLogTerm() {
    return new Policy(
        (position, statuses) ->
            statuses.stream()
                    .filter(status -> status.logTerm() == position.term())
                    .filter(status -> status.held() >= position.index())
                    .count()
                >= 2,
        covers,
        chooses,
        barrier);
  }

  /** Compares terms first and indexes only within one term. */
  Policy coveringLexicographically() {
    Comparator<LogPosition> order =
        Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::index);
    return new Policy(
        confirms,
        (status, floor) -> order.compare(status.appliedPosition(), floor) >= 0,
        chooses,
        barrier);
  }

  /** Takes the term that a member granted for the term of its log. */
  Policy coveringByGrantedTerm() {
    return new Policy(
        confirms,
        (status, floor) -> status.term() >= floor.term() && status.applied() >= floor.index(),
        chooses,
        barrier);
  }

  /** Promotes the longest log whatever its last term. */
  Policy choosingLongestLog() {
    return new Policy(
        confirms,
        covers,
        seals ->
            seals.size() < 2
                ? Optional.empty()
                : seals.stream().max(Comparator.comparingLong(MemberStatus::held)),
        barrier);
  }

  /** Promotes without a majority of seals. */
  Policy choosingWithoutMajority() {
    return new Policy(confirms, covers, seals -> seals.stream().findFirst(), barrier);
  }

  /** Trusts the position that a primary names without a majority in its term. */
  Policy trustingPrimaryForBarrier() {
    return new Policy(
        confirms,
        covers,
        chooses,
        (fresh, stale) -> DatabaseView.EMPTY.with(fresh).primary().map(MemberStatus::heldPosition));
  }

  /** Counts statuses that were asked for before the read arrived. */
  Policy usingStaleStatusesForBarrier() {
    return new Policy(confirms, covers, chooses, (fresh, stale) -> ReadBarrier.of(stale, MEMBERS));
  }

  /** Chooses the member to promote. */
  interface Chooser {

    Optional<MemberStatus> choose(List<MemberStatus> seals);
  }

  /** Derives a barrier from statuses asked for after the read and from all known ones. */
  interface Barrier {

    Optional<LogPosition> of(Collection<MemberStatus> fresh, Collection<MemberStatus> stale);
  }
}
