package org.hickoryshed.session.eventlog;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A line of the log. */
public final class LogLine {

  /** The log that takes this line. */
  private final EventLog log;

  /** The name of the event. */
  private final String event;

  /** The time of the event in milliseconds since the epoch. */
  private final long millis;

  /** The alternating names and values of the fields. */
  private final List<Object> fields = new ArrayList<>();

  /**
   * Creates a new line.
   *
   * @param log The log that takes the line.
   * @param event The name of the event.
   * @param millis The time of the event in milliseconds since the epoch.
   */
  LogLine(EventLog log, String event, long millis) {
    this.log = log;
    this.event = event;
    this.millis = millis;
  }

  /**
   * Adds a field.
   *
   * @param name The name of the field.
   * @param value The value: a number, a truth value, or anything with a text.
   * @return This line.
   */
  public LogLine with(String name, Object value) {
    fields.add(name);
    fields.add(value);
    return this;
  }

  /** Hands this line to the log without blocking. */
  public void write() {
    log.offer(this);
  }

  /**
   * Returns the name of the event.
   *
   * @return The name.
   */
  String event() {
    return event;
  }

  /**
   * Returns the time of the event.
   *
   * @return The time in milliseconds since the epoch.
   */
  long millis() {
    return millis;
  }

  /**
   * Writes the fields.
   *
   * @param json The encoder.
   * @throws IOException If the output fails.
   */
  void writeFields(JsonGenerator json) throws IOException {
    for (int index = 0; index < fields.size(); index += 2) {
      json.writeFieldName((String) fields.get(index));
      switch (fields.get(index + 1)) {
        case Long number -> json.writeNumber(number);
        case Integer number -> json.writeNumber(number);
        case Boolean value -> json.writeBoolean(value);
        case Object value -> json.writeString(value.toString());
      }
    }
  }
}
