package org.hickoryshed.session.eventlog;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A line of the event log: one event with its fields. Not thread-safe. */
public final class LogLine {

  private final EventLog log;

  private final String event;

  /** The time of the event in milliseconds since the epoch. */
  private final long millis;

  /** Alternating names and values. */
  private final List<Object> fields = new ArrayList<>();

  LogLine(EventLog log, String event, long millis) {
    this.log = log;
    this.event = event;
    this.millis = millis;
  }

  /**
   * Adds a field.
   *
   * @param name The name of the field.
   * @param value The value; numbers and booleans are written as such, others by {@link
   *     Object#toString()}.
   * @return This line.
   */
  public LogLine with(String name, Object value) {
    fields.add(name);
    fields.add(value);
    return this;
  }

  /** Passes this line to the log without blocking; the line must not be changed afterwards. */
  public void write() {
    log.offer(this);
  }

  String event() {
    return event;
  }

  long millis() {
    return millis;
  }

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
