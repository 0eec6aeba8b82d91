package org.hickoryshed.kernel.event;

import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.tinylog.Logger;

/** A recorder that keeps the latest events of a process in a bounded ring. */
public final class EventRecorder {

  /** The number of events that are kept. */
  private static final int CAPACITY = 4096;

  /** The name of the process. */
  private final String process;

  /** The identifier of this run of the process. */
  private final String incarnation;

  /** The source of the wall clock. */
  private final InstantSource clock;

  /** The latest events, oldest first. */
  private final Deque<Event> events = new ArrayDeque<>(CAPACITY);

  /** The latest time that was issued or observed. */
  private HybridTime latest = new HybridTime(0, 0);

  /**
   * Creates a new recorder.
   *
   * @param process The name of the process.
   * @param incarnation The identifier of this run of the process.
   * @param clock The source of the wall clock.
   */
  public EventRecorder(String process, String incarnation, InstantSource clock) {
    this.process = process;
    this.incarnation = incarnation;
    this.clock = clock;
  }

  /**
   * Records and logs a change of state.
   *
   * @param type The type of the event.
   * @param attributes The attributes as alternating names and values.
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
   * Issues a time for a message that leaves this process.
   *
   * @return A time later than all times that were issued or observed.
   */
  public synchronized HybridTime nextTime() {
    latest = latest.next(latest, clock.millis());
    return latest;
  }

  /**
   * Observes the time of a message from another process.
   *
   * @param time The time that the message carries.
   */
  public synchronized void observe(HybridTime time) {
    latest = latest.next(time, clock.millis());
  }

  /**
   * Returns the recorded events.
   *
   * @return The recorded events, oldest first.
   */
  public synchronized List<Event> events() {
    return List.copyOf(events);
  }

  /**
   * Returns the identifier of this run of the process.
   *
   * @return The identifier of this run of the process.
   */
  public String incarnation() {
    return incarnation;
  }
}
