package org.hickoryshed.decision.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Selects the member that serves a read.
 *
 * <p>Two members are drawn with the probabilities of a {@link ReadPlacement}, and the one with the
 * lower load is taken. Many proxies that know the same old load therefore don't all choose the same
 * member. Members that fail statements or are full are spared, but never more than half of those
 * that can serve the read.
 */
public final class ReaderSelector {

  private ReaderSelector() {}

  /**
   * Selects a member.
   *
   * @param candidates All members of the database.
   * @param placement The division of the reads.
   * @param firstDraw A random number from zero to one, without one.
   * @param secondDraw Another such number.
   */
  public static Selection select(
      List<ReaderCandidate> candidates,
      ReadPlacement placement,
      double firstDraw,
      double secondDraw) {
    List<ReaderCandidate> able =
        candidates.stream().filter(candidate -> candidate.obstacle().isEmpty()).toList();
    Set<String> spared = spared(able);
    List<ReaderCandidate> eligible =
        able.stream().filter(candidate -> !spared.contains(candidate.id())).toList();
    Map<String, Double> shares = placement.shares(eligible);
    Optional<ReaderCandidate> first = draw(eligible, shares, firstDraw);
    Optional<ReaderCandidate> second = draw(eligible, shares, secondDraw);
    Optional<ReaderCandidate> chosen =
        first.flatMap(one -> second.map(other -> other.load() < one.load() ? other : one));
    return new Selection(
        chosen.map(ReaderCandidate::id),
        candidates.stream()
            .map(candidate -> new Assessment(candidate, verdict(candidate, spared, shares)))
            .toList());
  }

  /**
   * Returns the members that are spared: those that are distrusted first, then those that are full,
   * up to half of all.
   */
  private static Set<String> spared(List<ReaderCandidate> able) {
    List<ReaderCandidate> poor = new ArrayList<>(able);
    poor.removeIf(
        candidate -> candidate.trust() != MemberTrust.State.DISTRUSTED && !candidate.full());
    poor.sort(
        Comparator.comparing(
            candidate -> candidate.trust() == MemberTrust.State.DISTRUSTED ? 0 : 1));
    return poor.stream()
        .limit(able.size() / 2)
        .map(ReaderCandidate::id)
        .collect(Collectors.toSet());
  }

  private static Optional<ReaderCandidate> draw(
      List<ReaderCandidate> eligible, Map<String, Double> shares, double draw) {
    double rest = draw;
    for (ReaderCandidate candidate : eligible) {
      rest -= shares.get(candidate.id());
      if (rest < 0) {
        return Optional.of(candidate);
      }
    }
    // Rounding may leave a rest; the last member takes it.
    return eligible.isEmpty() ? Optional.empty() : Optional.of(eligible.get(eligible.size() - 1));
  }

  private static Assessment.Verdict verdict(
      ReaderCandidate candidate, Set<String> spared, Map<String, Double> shares) {
    if (candidate.obstacle().isPresent()) {
      return new Assessment.Unable(candidate.obstacle().get());
    }
    if (!spared.contains(candidate.id())) {
      return new Assessment.Eligible(shares.get(candidate.id()));
    }
    return candidate.trust() == MemberTrust.State.DISTRUSTED
        ? new Assessment.Distrusted()
        : new Assessment.Full();
  }

  /**
   * The result of a selection.
   *
   * @param member The identifier of the selected member, empty if none can serve the read.
   * @param assessments What was found about each member.
   */
  public record Selection(Optional<String> member, List<Assessment> assessments) {}
}
