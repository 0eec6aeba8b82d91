package org.hickoryshed.decision.route;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * Keeps the recent read barriers of one database for reads that accept stale data.
 *
 * <p>A barrier is a log position that covers every write acknowledged before the barrier was
 * requested (see {@link org.hickoryshed.decision.commit.ReadBarrier}). Not thread-safe.
 */
public final class BarrierHistory {

  /** The maximum number of barriers. */
  private static final int CAPACITY = 64;

  /** The minimum time between two kept barriers in milliseconds. */
  private static final long SPACING_MILLIS = 100;

  /** The barriers, oldest first. */
  private final Deque<Entry> entries = new ArrayDeque<>();

  /**
   * Adds a barrier. It is ignored if it was requested too soon after the previous one.
   *
   * @param requestedAt The time in milliseconds at which the barrier was requested.
   * @param position The position of the barrier.
   */
  public void add(long requestedAt, LogPosition position) {
    if (!entries.isEmpty() && requestedAt - entries.getLast().requestedAt() < SPACING_MILLIS) {
      return;
    }
    if (entries.size() == CAPACITY) {
      entries.removeFirst();
    }
    entries.addLast(new Entry(requestedAt, position));
  }

  /**
   * Returns the oldest barrier within an accepted age. More replicas have reached an older barrier
   * than a newer one.
   *
   * @param now The current time in milliseconds.
   * @param maxAge The accepted age in milliseconds.
   * @return The position of the barrier, empty if none is recent enough.
   */
  public Optional<LogPosition> oldestWithin(long now, long maxAge) {
    Iterator<Entry> oldestFirst = entries.iterator();
    while (oldestFirst.hasNext()) {
      Entry entry = oldestFirst.next();
      if (now - entry.requestedAt() <= maxAge) {
        return Optional.of(entry.position());
      }
    }
    return Optional.empty();
  }

  /**
   * A barrier and the time at which it was requested.
   *
   * @param requestedAt The time in milliseconds.
   * @param position The position of the barrier.
   */
  private record Entry(long requestedAt, LogPosition position) {}
}
