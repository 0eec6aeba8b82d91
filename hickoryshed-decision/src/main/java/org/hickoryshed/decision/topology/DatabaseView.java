package org.hickoryshed.decision.topology;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * A snapshot of a database as one observer knows it: the latest status of each member that
 * responded.
 *
 * @param statuses The statuses by the name of the member.
 */
public record DatabaseView(Map<String, MemberStatus> statuses) {

  /** A view without any status. */
  public static final DatabaseView EMPTY = new DatabaseView(Map.of());

  /** Copies the map. */
  public DatabaseView {
    statuses = Map.copyOf(statuses);
  }

  /**
   * Returns a view with a newer status of a member.
   *
   * @param status The status; ignored if its term is lower than that of the known status.
   * @return The updated view.
   */
  public DatabaseView with(MemberStatus status) {
    MemberStatus known = statuses.get(status.member());
    if (known != null && known.term() > status.term()) {
      return this;
    }
    Map<String, MemberStatus> next = new HashMap<>(statuses);
    next.put(status.member(), status);
    return new DatabaseView(next);
  }

  /**
   * Returns a view with newer statuses of several members.
   *
   * @param added The statuses, applied in order.
   * @return The updated view.
   */
  public DatabaseView with(Collection<MemberStatus> added) {
    DatabaseView view = this;
    for (MemberStatus status : added) {
      view = view.with(status);
    }
    return view;
  }

  /**
   * Returns a view without a member and without the statuses that name it as primary.
   *
   * @param member The name of the member.
   * @return The updated view.
   */
  public DatabaseView without(String member) {
    Map<String, MemberStatus> next = new HashMap<>(statuses);
    next.values()
        .removeIf(
            status ->
                status.member().equals(member)
                    || status.primary().filter(member::equals).isPresent());
    return new DatabaseView(next);
  }

  /**
   * Returns the latest primary that responded. Another member may be in a higher term already.
   *
   * @return The primary with the highest term, empty if no primary responded.
   */
  public Optional<MemberStatus> primary() {
    return statuses.values().stream()
        .filter(MemberStatus::isPrimary)
        .max(Comparator.comparingLong(MemberStatus::term));
  }

  /**
   * Returns the primary of the highest known term.
   *
   * @return The primary, empty if no primary responded in that term.
   */
  public Optional<MemberStatus> primaryOfHighestTerm() {
    long term = highestTerm();
    return primary().filter(status -> status.term() == term);
  }

  /**
   * Returns the name of the latest primary that any member knows, even if that primary itself did
   * not respond.
   *
   * @return The name of the primary that is known for the highest term, empty if none is known.
   */
  public Optional<String> primaryName() {
    return statuses.values().stream()
        .filter(status -> status.primary().isPresent())
        .max(Comparator.comparingLong(MemberStatus::term))
        .flatMap(MemberStatus::primary);
  }

  /**
   * Returns the highest term that any member reported.
   *
   * @return The highest term, zero without any status.
   */
  public long highestTerm() {
    return statuses.values().stream()
        .max(Comparator.comparingLong(MemberStatus::term))
        .map(MemberStatus::term)
        .orElse(0L);
  }
}
