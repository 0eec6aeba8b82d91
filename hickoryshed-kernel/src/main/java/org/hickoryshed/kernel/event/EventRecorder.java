package org.hickoryshed.kernel.event;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/**
 * Keeps the latest 4096 events of a process in memory and writes each to the log. It also holds the
 * hybrid logical clock of the process. Thread-safe.
 */
public final class EventRecorder {

  private static final int CAPACITY = 4096;

  private final String process;

  private final String incarnation;

  private final InstantSource clock;

  /** Oldest first. */
  private final Deque<Event> events = new ArrayDeque<>(CAPACITY);

  /** The latest time that was issued or received. */
  private HybridTime latest = new HybridTime(0, 0);

  /**
   * Creates a recorder without events.
   *
   * @param process The name of the process.
   * @param incarnation The identifier of this run of the process.
   * @param clock The wall clock.
   */
  public EventRecorder(String process, String incarnation, InstantSource clock) {
    this.process = process;
    this.incarnation = incarnation;
    this.clock = clock;
  }

  /**
   * Records an event at the next time of the clock and logs it. The oldest event is dropped if the
   * recorder is full.
   *
   * @param type The type of the event.
   * @param attributes The attributes as alternating names and values; a last name without a value
   *     is ignored.
   */
  public void record(String type, Object... attributes) {
    Map<String, String> named = new LinkedHashMap<>();
    for (int index = 0; index + 1 < attributes.length; index += 2) {
      named.put(String.valueOf(attributes[index]), String.valueOf(attributes[index + 1]));
    }
    synchronized (this) {
      if (events.size() == CAPACITY) {
        events.removeFirst();
      }
      events.addLast(new Event(nextTime(), process, incarnation, type, Map.copyOf(named)));
    }
    Logger.info("{} {}", type, named);
  }

  /**
   * Returns the next time of the clock, for an event or for a message that leaves this process.
   *
   * @return A time later than all times that were issued or received.
   */
  public synchronized HybridTime nextTime() {
    latest = latest.next(latest, clock.millis());
    return latest;
  }

  /**
   * Advances the clock past the time of a message from another process, so that later events of
   * this process are ordered after it.
   *
   * @param time The time that the message carries.
   */
  public synchronized void observe(HybridTime time) {
    latest = latest.next(time, clock.millis());
  }

  /**
   * Returns the events that are kept.
   *
   * @return A copy of the events, oldest first.
   */
  public synchronized List<Event> events() {
    return List.copyOf(events);
  }

  /**
   * Returns the identifier of this run of the process.
   *
   * @return The identifier, which changes with each restart.
   */
  public String incarnation() {
    return incarnation;
  }
}
