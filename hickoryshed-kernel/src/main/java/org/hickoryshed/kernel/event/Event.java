package org.hickoryshed.kernel.event;

import java.util.Map;

/**
 * A recorded state change of a process, as served at {@code /events}.
 *
 * @param time The hybrid logical time of the event.
 * @param process The name of the process.
 * @param incarnation The identifier of this run of the process, which changes with each restart.
 * @param type The type of the event.
 * @param attributes The attributes of the event.
 */
public record Event(
    HybridTime time,
    String process,
    String incarnation,
    String type,
    Map<String, String> attributes) {}
