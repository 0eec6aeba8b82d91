package org.hickoryshed.decision.freshness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * Keeps the recent floors of one database.
 *
 * <p>A floor is a log position that covers every commit that was acknowledged before a known time.
 * A member that holds the position therefore serves reads that are at least as fresh as that time.
 *
 * <p>Floors must only be taken from responses which prove that the responding member was the
 * primary when it handled the request: an acknowledged write, or a statement inside a transaction
 * that may write. The time of a floor is the one at which the request was sent.
 *
 * <p>Not thread-safe.
 */
public final class FloorHistory {

  /** The maximum number of floors. */
  private static final int CAPACITY = 128;

  /** The minimum time between two kept floors in milliseconds. The latest floor is always kept. */
  private static final long SPACING_MILLIS = 20;

  /** The floors in the order in which they were added. */
  private final Deque<Floor> floors = new ArrayDeque<>();

  /** The highest known term of any member. */
  private long term;

  /**
   * Adds a floor. It is ignored if its term is outdated or its position is behind the latest floor.
   *
   * @param sentAt The time at which the request was sent.
   * @param position The position of the member's log in the response.
   */
  public void add(ClockReading sentAt, LogPosition position) {
    observeTerm(position.term());
    if (position.term() < term) {
      return;
    }
    Floor last = floors.peekLast();
    if (last != null && last.position.index() > position.index()) {
      return;
    }
    if (last != null
        && floors.size() > 1
        && sentAt.millisSince(secondToLast().sentAt) < SPACING_MILLIS) {
      floors.pollLast();
    }
    floors.addLast(new Floor(sentAt, position));
    if (floors.size() > CAPACITY) {
      floors.pollFirst();
    }
  }

  /**
   * Drops the floors of older terms, because a promotion may have rolled their positions back.
   *
   * @param seen The term of a member of the database.
   */
  public void observeTerm(long seen) {
    if (seen > term) {
      term = seen;
      floors.clear();
    }
  }

  /**
   * Returns the floor that was added last.
   *
   * @return The floor, empty if there is none.
   */
  public Optional<Floor> latest() {
    return Optional.ofNullable(floors.peekLast());
  }

  /**
   * Returns the lowest position that is fresh enough for a read.
   *
   * @param arrived The time at which the first byte of the read, or of its transaction, arrived.
   * @param maximumAgeMillis The maximum age of the data in milliseconds.
   * @param ownCommit The last commit of the same session, if any; the read must see it.
   * @return The position that the log of a member must hold, empty if no floor is recent enough.
   */
  public Optional<LogPosition> requiredPosition(
      ClockReading arrived, long maximumAgeMillis, Optional<LogPosition> ownCommit) {
    for (Floor floor : floors) {
      if (arrived.millisSince(floor.sentAt) <= maximumAgeMillis) {
        return Optional.of(withOwnCommit(floor.position, ownCommit));
      }
    }
    return Optional.empty();
  }

  /**
   * Returns how long a position is known to be reached.
   *
   * @param now The time of the question.
   * @param position A position that is required of a member.
   * @return The age in milliseconds, zero if no floor covers the position.
   */
  public long ageMillis(ClockReading now, LogPosition position) {
    for (Floor floor : floors) {
      if (floor.position.covers(position)) {
        return now.millisSince(floor.sentAt);
      }
    }
    return 0;
  }

  /**
   * Raises a position to the last commit of the same session.
   *
   * <p>A commit of an older term needs no check: it was either rolled back, or every log of the
   * newer term holds it. A commit of a newer term replaces the position, whatever its index: a log
   * that holds it has all that the newer term kept of the older one.
   */
  private static LogPosition withOwnCommit(LogPosition position, Optional<LogPosition> ownCommit) {
    return ownCommit.filter(position::isBehind).orElse(position);
  }

  /** Returns the floor before the latest one. */
  private Floor secondToLast() {
    Iterator<Floor> descending = floors.descendingIterator();
    descending.next();
    return descending.next();
  }

  /**
   * A log position that covers every commit acknowledged before a known time.
   *
   * @param sentAt The time at which the request for the position was sent; commits that were
   *     acknowledged earlier are covered.
   * @param position The position that covers them.
   */
  public record Floor(ClockReading sentAt, LogPosition position) {}
}
