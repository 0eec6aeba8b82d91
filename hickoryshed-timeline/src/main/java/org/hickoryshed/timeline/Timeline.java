package org.hickoryshed.timeline;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Collectors;
import org.hickoryshed.kernel.event.Event;

/**
 * The events of all processes in one order.
 *
 * @param events The events in the order of their hybrid logical times.
 */
record Timeline(List<Event> events) {

  /** The height of a lane of the page in pixels. */
  private static final int LANE_HEIGHT = 46;

  /** The width of the page in pixels. */
  private static final int WIDTH = 1400;

  /** The width of the names of the processes in pixels. */
  private static final int MARGIN = 180;

  /**
   * Orders events.
   *
   * @param collected The events of all processes in any order.
   * @return The time line.
   */
  static Timeline of(Collection<Event> collected) {
    List<Event> ordered = new ArrayList<>(collected);
    ordered.sort(Comparator.comparing(Event::time).thenComparing(Event::process));
    return new Timeline(List.copyOf(ordered));
  }

  /**
   * Writes the time line as text.
   *
   * @return A line for each event.
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
   * Writes the time line as a self-contained page with a lane for each process.
   *
   * @return The page.
   */
  String page() {
    List<String> lanes = events.stream().map(Event::process).distinct().sorted().toList();
    StringBuilder page = new StringBuilder();
    page.append("<!doctype html><meta charset=\"utf-8\"><title>hickoryshed time line</title>")
        .append("<style>text{font:12px sans-serif}circle{fill:#2a6f97}</style>")
        .append(
            "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\">"
                .formatted(WIDTH, LANE_HEIGHT * (lanes.size() + 1)));
    for (int lane = 0; lane < lanes.size(); lane++) {
      int y = LANE_HEIGHT * (lane + 1);
      page.append("<text x=\"4\" y=\"%d\">%s</text>".formatted(y + 4, escape(lanes.get(lane))));
      page.append(
          "<line x1=\"%d\" x2=\"%d\" y1=\"%d\" y2=\"%d\" stroke=\"#ccc\"/>"
              .formatted(MARGIN, WIDTH, y, y));
    }
    events.forEach(event -> page.append(mark(event, lanes.indexOf(event.process()))));
    return page.append("</svg><pre>").append(escape(text())).append("</pre>\n").toString();
  }

  /**
   * Writes the mark of an event.
   *
   * @param event The event.
   * @param lane The number of the lane.
   * @return The mark with a tool tip.
   */
  private String mark(Event event, int lane) {
    long first = events.getFirst().time().milliseconds();
    long span = Math.max(1, events.getLast().time().milliseconds() - first);
    long offset = event.time().milliseconds() - first;
    long x = MARGIN + 10 + (WIDTH - MARGIN - 30) * offset / span;
    return "<circle cx=\"%d\" cy=\"%d\" r=\"5\"><title>+%d ms %s %s</title></circle>"
        .formatted(
            x,
            LANE_HEIGHT * (lane + 1),
            offset,
            escape(event.type()),
            escape(event.attributes().toString()));
  }

  /**
   * Escapes text for a page.
   *
   * @param text The text.
   * @return The escaped text.
   */
  private static String escape(String text) {
    return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
  }
}
