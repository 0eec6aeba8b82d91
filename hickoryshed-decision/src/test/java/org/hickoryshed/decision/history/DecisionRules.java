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
 * The decisions under which a {@link RandomHistory} runs. {@link #PRODUCTION} calls the production
 * code; each method returns a copy in which one decision is faulty, which the history must detect.
 *
 * @param confirms Whether a set of statuses confirms a position.
 * @param covers Whether the applied position of a member covers a required position.
 * @param chooses Which of the sealed members is promoted.
 * @param barrier Which position a read without a session must reach.
 */
record DecisionRules(
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

  static final DecisionRules PRODUCTION =
      new DecisionRules(
          (position, statuses) ->
              Confirmation.of(position, statuses, MEMBERS) == Confirmation.CONFIRMED,
          (status, floor) -> status.appliedPosition().covers(floor),
          seals -> Promotion.choose(DATABASE, seals, "", Set.of()),
          (fresh, known) -> ReadBarrier.of(fresh, MEMBERS));

  /** Acknowledges a write that only the primary reports. */
  DecisionRules acknowledgingAtOnce() {
    return new DecisionRules((position, statuses) -> true, covers, chooses, barrier);
  }

  /** Confirms an index that a majority holds, whatever the term. */
  DecisionRules confirmingWithoutTerm() {
    return new DecisionRules(
        (position, statuses) ->
            statuses.stream().filter(status -> status.held() >= position.index()).count() >= 2,
        covers,
        chooses,
        barrier);
  }

  /** Counts a member whose last entry is of the term even if a primary of a later term sent it. */
  DecisionRules confirmingByLogTerm() {
    return new DecisionRules(
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
  DecisionRules coveringLexicographically() {
    Comparator<LogPosition> order =
        Comparator.comparingLong(LogPosition::term).thenComparingLong(LogPosition::index);
    return new DecisionRules(
        confirms,
        (status, floor) -> order.compare(status.appliedPosition(), floor) >= 0,
        chooses,
        barrier);
  }

  /** Mistakes the term that a member granted for the term of its log. */
  DecisionRules coveringByGrantedTerm() {
    return new DecisionRules(
        confirms,
        (status, floor) -> status.term() >= floor.term() && status.applied() >= floor.index(),
        chooses,
        barrier);
  }

  /** Promotes the member with the highest log index, whatever the term of its last entry. */
  DecisionRules choosingLongestLog() {
    return new DecisionRules(
        confirms,
        covers,
        seals ->
            seals.size() < 2
                ? Optional.empty()
                : seals.stream().max(Comparator.comparingLong(MemberStatus::held)),
        barrier);
  }

  /** Promotes before a majority is sealed. */
  DecisionRules choosingWithoutMajority() {
    return new DecisionRules(confirms, covers, seals -> seals.stream().findFirst(), barrier);
  }

  /** Trusts the position that a primary reports without a majority in its term. */
  DecisionRules trustingPrimaryForBarrier() {
    return new DecisionRules(
        confirms,
        covers,
        chooses,
        (fresh, known) -> DatabaseView.EMPTY.with(fresh).primary().map(MemberStatus::heldPosition));
  }

  /** Uses statuses that were requested before the read arrived. */
  DecisionRules usingStaleStatusesForBarrier() {
    return new DecisionRules(
        confirms, covers, chooses, (fresh, known) -> ReadBarrier.of(known, MEMBERS));
  }

  /** Chooses the member to promote. */
  interface Chooser {

    Optional<MemberStatus> choose(List<MemberStatus> seals);
  }

  /**
   * Derives a barrier from the statuses requested after the read arrived, or from all known ones.
   */
  interface Barrier {

    Optional<LogPosition> of(Collection<MemberStatus> fresh, Collection<MemberStatus> known);
  }
}
