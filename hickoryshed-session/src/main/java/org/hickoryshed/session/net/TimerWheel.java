package org.hickoryshed.session.net;

import java.util.Optional;

/**
 * The timers of an event loop, in a hierarchical timing wheel (Varghese and Lauck, 1987).
 *
 * <p>Scheduling and cancelling take a time that does not depend on the number of timers, and a
 * cancelled timer is unlinked at once, so that nothing that its action refers to stays reachable.
 * Timers are due in steps of a millisecond, in the order of their steps and within one step in the
 * order in which they were scheduled. A timer never fires early; it fires up to a millisecond late.
 *
 * <p>Each of the levels has 64 slots; a slot of a level spans all slots of the level below. A timer
 * is put into the lowest level at which it shares the next higher slot with the current step, and
 * moves down as its slot is reached. Not safe for use by several threads.
 */
final class TimerWheel {

  private static final int SLOT_BITS = 6;

  private static final int SLOTS = 1 << SLOT_BITS;

  /** Enough for steps of a millisecond over a hundred years. */
  private static final int LEVELS = 7;

  private static final long NANOS_PER_STEP = 1_000_000;

  /** The reading of the monotonic clock at step zero, in nanoseconds. */
  private final long origin;

  /** The timers by level and slot. */
  private final Slot[][] slots = new Slot[LEVELS][SLOTS];

  /** The slots of each level that hold timers, as bits. */
  private final long[] occupied = new long[LEVELS];

  /** The timers that are due, the first one first. */
  private final Slot due = new Slot(0, -1);

  /** The last step whose timers were moved to {@link #due}. */
  private long currentStep;

  /**
   * Creates a wheel without timers.
   *
   * @param origin A reading of the monotonic clock that no later reading precedes, in nanoseconds.
   */
  TimerWheel(long origin) {
    this.origin = origin;
    for (int level = 0; level < LEVELS; level++) {
      for (int index = 0; index < SLOTS; index++) {
        slots[level][index] = new Slot(level, index);
      }
    }
  }

  /**
   * Adds a timer that is in no wheel.
   *
   * @param dueNanos When it is due, in nanoseconds of the monotonic clock.
   */
  void add(Entry entry, long dueNanos) {
    entry.step = Math.max(currentStep + 1, Math.ceilDiv(dueNanos - origin, NANOS_PER_STEP));
    insert(entry);
  }

  /** Removes a timer; has no effect if it is in no wheel. */
  void remove(Entry entry) {
    Slot slot = entry.slot;
    if (slot == null) {
      return;
    }
    slot.unlink(entry);
    if (slot.isEmpty() && slot != due) {
      occupied[slot.level] &= ~(1L << slot.index);
    }
  }

  /**
   * Removes and returns the next timer that is due.
   *
   * @param nowNanos A reading of the monotonic clock in nanoseconds.
   * @return The timer, empty if none is due.
   */
  Optional<Entry> pollDue(long nowNanos) {
    long nowStep = Math.floorDiv(nowNanos - origin, NANOS_PER_STEP);
    while (due.isEmpty()) {
      int level = lowestOccupiedLevel();
      if (level == LEVELS || startOfNextSlot(level) > nowStep) {
        currentStep = Math.max(currentStep, nowStep);
        return Optional.empty();
      }
      moveNextSlotDown(level);
    }
    Entry first = due.first();
    due.unlink(first);
    return Optional.of(first);
  }

  /**
   * Returns when {@link #pollDue} has to be called next.
   *
   * @return The reading of the monotonic clock in nanoseconds, not later than the next timer is
   *     due, or an empty optional without timers.
   */
  Optional<Long> nextNanos() {
    if (!due.isEmpty()) {
      return Optional.of(origin + currentStep * NANOS_PER_STEP);
    }
    int level = lowestOccupiedLevel();
    return level == LEVELS
        ? Optional.empty()
        : Optional.of(origin + startOfNextSlot(level) * NANOS_PER_STEP);
  }

  /** Returns the lowest level that holds timers, which holds the next one, or the level count. */
  private int lowestOccupiedLevel() {
    int level = 0;
    while (level < LEVELS && occupied[level] == 0) {
      level++;
    }
    return level;
  }

  /** Returns the first step of the next occupied slot of a level. */
  private long startOfNextSlot(int level) {
    long index = Long.numberOfTrailingZeros(occupied[level]);
    long span = 1L << (SLOT_BITS * (level + 1));
    return (currentStep & -span) | (index << (SLOT_BITS * level));
  }

  /** Advances to the next occupied slot of a level and distributes its timers below. */
  private void moveNextSlotDown(int level) {
    currentStep = startOfNextSlot(level);
    Slot slot = slots[level][Long.numberOfTrailingZeros(occupied[level])];
    occupied[level] &= ~(1L << slot.index);
    while (!slot.isEmpty()) {
      Entry entry = slot.first();
      slot.unlink(entry);
      insert(entry);
    }
  }

  /** Links a timer into the slot of its step, as seen from the current step. */
  private void insert(Entry entry) {
    if (entry.step <= currentStep) {
      due.append(entry);
      return;
    }
    int highestBit = Long.SIZE - 1 - Long.numberOfLeadingZeros(entry.step ^ currentStep);
    int level = Math.min(highestBit / SLOT_BITS, LEVELS - 1);
    int index = (int) (entry.step >>> (SLOT_BITS * level)) & (SLOTS - 1);
    slots[level][index].append(entry);
    occupied[level] |= 1L << index;
  }

  /** A timer in a wheel, linked to its neighbours in the slot. */
  abstract static class Entry {

    /** The slot that holds this timer, {@code null} if none does. */
    private Slot slot;

    private Entry previous;
    private Entry next;

    /** When it is due, in steps since the origin. */
    private long step;
  }

  /** A ring of timers, itself the link between the last and the first one. */
  private static final class Slot extends Entry {

    private final int level;
    private final int index;

    private Slot(int level, int index) {
      this.level = level;
      this.index = index;
      ((Entry) this).previous = this;
      ((Entry) this).next = this;
    }

    private boolean isEmpty() {
      return ((Entry) this).next == this;
    }

    private Entry first() {
      return ((Entry) this).next;
    }

    private void append(Entry entry) {
      Entry ring = this;
      entry.slot = this;
      entry.previous = ring.previous;
      entry.next = ring;
      ring.previous.next = entry;
      ring.previous = entry;
    }

    private void unlink(Entry entry) {
      entry.previous.next = entry.next;
      entry.next.previous = entry.previous;
      entry.slot = null;
      entry.previous = null;
      entry.next = null;
    }
  }
}
