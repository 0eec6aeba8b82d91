package org.hickoryshed.decision.topology;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The latest known statuses of the members of a database.
 *
 * @param statuses The statuses by the names of the members.
 */
public record DatabaseView(Map<String, MemberStatus> statuses) {

  /** A view without any status. */
  public static final DatabaseView EMPTY = new DatabaseView(Map.of());

  /** Creates a new view. */
  public DatabaseView {
    statuses = Map.copyOf(statuses);
  }

  /**
   * Adds a status.
   *
   * @param status The status, ignored if it is of a lower term than the known one.
   * @return The view with the status.
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
   * Adds several statuses.
   *
   * @param added The statuses.
   * @return The view with the statuses.
   */
  public DatabaseView with(Collection<MemberStatus> added) {
    DatabaseView view = this;
    for (MemberStatus status : added) {
      view = view.with(status);
    }
    return view;
  }

  /**
   * Removes all that is known of a member, also what other members know of it as primary.
   *
   * @param member The name of the member.
   * @return The view without the member.
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
   * Returns the latest known primary.
   *
   * @return The primary of the highest term that has one, or an empty optional.
   */
  public Optional<MemberStatus> primary() {
    return statuses.values().stream()
        .filter(MemberStatus::isPrimary)
        .max(Comparator.comparingLong(MemberStatus::term));
  }

  /**
   * Returns the latest known primary unless a member left its term.
   *
   * @return The primary of the highest known term or an empty optional if that term has none.
   */
  public Optional<MemberStatus> primaryOfHighestTerm() {
    long term = highestTerm();
    return primary().filter(status -> status.term() == term);
  }

  /**
   * Returns the name of the latest primary that any member knows.
   *
   * @return The primary that is known for the highest term, or an empty optional.
   */
  public Optional<String> primaryName() {
    return statuses.values().stream()
        .filter(status -> status.primary().isPresent())
        .max(Comparator.comparingLong(MemberStatus::term))
        .flatMap(MemberStatus::primary);
  }

  /**
   * Returns the highest known term.
   *
   * @return The highest known term or zero.
   */
  public long highestTerm() {
    return statuses.values().stream()
        .max(Comparator.comparingLong(MemberStatus::term))
        .map(MemberStatus::term)
        .orElse(0L);
  }
}
