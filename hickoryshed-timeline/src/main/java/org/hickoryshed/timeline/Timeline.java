package org.hickoryshed.timeline;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.hickoryshed.kernel.event.Event;

/**
 * The events of all processes in one order, written as text or as an HTML page.
 *
 * @param events The events in the order of their hybrid logical times.
 */
record Timeline(List<Event> events) {

  /** The height of the lane of a process in pixels. */
  private static final int LANE_HEIGHT = 46;

  /** In pixels. */
  private static final int PAGE_WIDTH = 1400;

  /** The width of the column of process names in pixels. */
  private static final int NAMES_WIDTH = 180;

  /**
   * Orders events by their times and events of the same time by their processes.
   *
   * @param events The events of all processes in any order.
   * @return The timeline.
   */
  static Timeline of(Collection<Event> events) {
    List<Event> ordered = new ArrayList<>(events);
    ordered.sort(Comparator.comparing(Event::time).thenComparing(Event::process));
    return new Timeline(List.copyOf(ordered));
  }

  /**
   * Writes the timeline as text.
   *
   * @return One line for each event.
   */
  String text() {
    return events.stream()
        .map(
            event ->
                "%s+%d %-20s %-22s %s"
                    .formatted(
                        Instant.ofEpochMilli(event.time().milliseconds()),
                        event.time().counter(),
                        event.process() + "/" + event.incarnation(),
                        event.type(),
                        event.attributes()))
        .collect(Collectors.joining("\n", "", "\n"));
  }

  /**
   * Writes the timeline as a self-contained HTML page with a lane for each process and the text
   * below.
   *
   * @return The page.
   */
  String html() {
    List<String> lanes = events.stream().map(Event::process).distinct().sorted().toList();
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><meta charset=\"utf-8\"><title>hickoryshed timeline</title>")
        .append("<style>text{font:12px sans-serif}circle{fill:#2a6f97}</style>")
        .append(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">"
                .formatted(PAGE_WIDTH, LANE_HEIGHT * (lanes.size() + 1)));
    for (int lane = 0; lane < lanes.size(); lane++) {
      int y = LANE_HEIGHT * (lane + 1);
      page.append("<text x=\"4\" y=\"%d\">%s</text>".formatted(y + 4, escape(lanes.get(lane))));
      page.append(
          "<line x1=\"%d\" x2=\"%d\" y1=\"%d\" y2=\"%d\" stroke=\"#ccc\"/>"
              .formatted(NAMES_WIDTH, PAGE_WIDTH, y, y));
    }
    events.forEach(event -> page.append(circle(event, lanes.indexOf(event.process()))));
    return page.append("</svg><pre>").append(escape(text())).append("</pre>\n").toString();
  }

  /** Draws an event as a circle with a tooltip; its place in the lane shows its wall clock time. */
  private String circle(Event event, int lane) {
    long first = events.getFirst().time().milliseconds();
    long span = Math.max(1, events.getLast().time().milliseconds() - first);
    long offset = event.time().milliseconds() - first;
    long x = NAMES_WIDTH + 10 + (PAGE_WIDTH - NAMES_WIDTH - 30) * offset / span;
    return "<circle cx=\"%d\" cy=\"%d\" r=\"5\"><title>+%d ms %s %s</title></circle>"
        .formatted(
            x,
            LANE_HEIGHT * (lane + 1),
            offset,
            escape(event.type()),
            escape(event.attributes().toString()));
  }

  /** Escapes text for HTML. */
  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
