package org.hickoryshed.decision.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/** The latest barriers of a database with the times at which their questions were asked. */
public final class BarrierHistory {

  /** The number of barriers that are kept. */
  private static final int CAPACITY = 64;

  /** The shortest time between two kept barriers in milliseconds. */
  private static final long SPACING = 100;

  /** The barriers, oldest first. */
  private final Deque<Entry> entries = new ArrayDeque<>();

  /**
   * Adds a barrier.
   *
   * @param askedAt The time in milliseconds at which the question was asked.
   * @param position The position of the barrier.
   */
  public void add(long askedAt, LogPosition position) {
    if (!entries.isEmpty() && askedAt - entries.getLast().askedAt() < SPACING) {
      return;
    }
    if (entries.size() == CAPACITY) {
      entries.removeFirst();
    }
    entries.addLast(new Entry(askedAt, position));
  }

  /**
   * Returns the oldest barrier that is young enough, which most replicas have reached.
   *
   * @param now The current time in milliseconds.
   * @param maxAge The accepted age in milliseconds.
   * @return The position of the barrier or an empty optional.
   */
  public Optional<LogPosition> oldestWithin(long now, long maxAge) {
    Iterator<Entry> oldestFirst = entries.iterator();
    while (oldestFirst.hasNext()) {
      Entry entry = oldestFirst.next();
      if (now - entry.askedAt() <= maxAge) {
        return Optional.of(entry.position());
      }
    }
    return Optional.empty();
  }

  /**
   * A barrier with its time.
   *
   * @param askedAt The time in milliseconds at which the question was asked.
   * @param position The position of the barrier.
   */
  private record Entry(long askedAt, LogPosition position) {}
}
