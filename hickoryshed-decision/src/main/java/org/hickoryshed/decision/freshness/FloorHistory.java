package org.hickoryshed.decision.freshness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * The recent floors of one database.
 *
 * <p>A floor is a position that covers every commit which was acknowledged before a known moment.
 * It is added only for answers that prove that the answering member led the database when it
 * handled the request: an acknowledged write or a statement inside a transaction that may write.
 * The moment of a floor is the one at which the request was sent.
 */
public final class FloorHistory {

  /** The number of floors that are kept at most. */
  private static final int CAPACITY = 128;

  /** The shortest distance between two kept floors in milliseconds. */
  private static final long SPACING_MILLIS = 20;

  /** The floors in the order in which they were added. */
  private final Deque<Floor> floors = new ArrayDeque<>();

  /** The highest term that any member was seen in. */
  private long term;

  /**
   * Adds a floor.
   *
   * @param asked The moment at which the request was sent.
   * @param position The position of the member's log after the answer.
   */
  public void add(ClockReading asked, LogPosition position) {
    observeTerm(position.term());
    if (position.term() < term) {
      return;
    }
    Floor last = floors.peekLast();
    if (last != null && last.position.index() > position.index()) {
      return;
    }
    if (last != null && floors.size() > 1 && asked.millisSince(previous().asked) < SPACING_MILLIS) {
      floors.pollLast();
    }
    floors.addLast(new Floor(asked, position));
    if (floors.size() > CAPACITY) {
      floors.pollFirst();
    }
  }

  /**
   * Drops the floors of older terms, since a promotion may have rolled their positions back.
   *
   * @param seen A term that a member of the database is in.
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
   * @return The floor or an empty optional if there is none.
   */
  public Optional<Floor> latest() {
    return Optional.ofNullable(floors.peekLast());
  }

  /**
   * Finds the lowest position that is fresh enough for a read.
   *
   * @param firstByte The moment at which the read or its transaction arrived.
   * @param maximumAgeMillis The age up to which data may be read, in milliseconds.
   * @param ownCommit The last commit of the same session, if any.
   * @return The position that a log must hold, or an empty optional if no floor is recent enough.
   */
  public Optional<LogPosition> requiredPosition(
      ClockReading firstByte, long maximumAgeMillis, Optional<LogPosition> ownCommit) {
    for (Floor floor : floors) {
      if (firstByte.millisSince(floor.asked) <= maximumAgeMillis) {
        return Optional.of(withOwnCommit(floor.position, ownCommit));
      }
    }
    return Optional.empty();
  }

  /**
   * Raises a position to the last commit of the same session.
   *
   * <p>A commit of an older term either was rolled back or is held by every log of the newer term.
   *
   * @param position The position of the floor.
   * @param ownCommit The last commit of the session, if any.
   * @return The position that a log must hold.
   */
  private static LogPosition withOwnCommit(LogPosition position, Optional<LogPosition> ownCommit) {
    return ownCommit
        .filter(commit -> commit.term() >= position.term())
        .map(commit -> commit.index() > position.index() ? commit : position)
        .orElse(position);
  }

  /**
   * Returns the floor before the last one.
   *
   * @return The floor before the last one.
   */
  private Floor previous() {
    Iterator<Floor> descending = floors.descendingIterator();
    descending.next();
    return descending.next();
  }

  /**
   * A floor.
   *
   * @param asked The moment before which all acknowledged commits are covered.
   * @param position The position that covers them.
   */
  public record Floor(ClockReading asked, LogPosition position) {}
}
