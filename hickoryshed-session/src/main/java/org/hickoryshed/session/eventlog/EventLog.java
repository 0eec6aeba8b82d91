package org.hickoryshed.session.eventlog;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.time.Instant;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.hickoryshed.kernel.service.Service;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.tinylog.Logger;

/**
 * The event log of a process: one JSON object per line.
 *
 * <p>Lines wait in a bounded queue for a thread of their own, so logging never blocks. A line is
 * dropped and counted if the queue is full, or if the lines of its second have reached the limit.
 * The number of dropped lines is logged itself.
 */
public final class EventLog implements Service {

  private static final int MAX_QUEUED_LINES = 1024;

  private static final int MAX_LINES_PER_SECOND = 250;

  /** The time that the writing thread sleeps between two rounds, in nanoseconds. */
  private static final long POLL_INTERVAL_NANOS = 100_000_000;

  private final JsonFactory factory = new JsonFactory();

  private final MpscAtomicArrayQueue<LogLine> queue = new MpscAtomicArrayQueue<>(MAX_QUEUED_LINES);

  private final AtomicLong dropped = new AtomicLong();

  /** The name of this process, written in each line. */
  private final String process;

  /** The identifier of this run of the process, written in each line. */
  private final String boot;

  private final OutputStream output;

  private final Thread thread;

  private volatile boolean active = true;

  /** The second, since the epoch, that {@link #linesInSecond} belongs to. */
  private long currentSecond;

  /** The number of lines of the current second, including dropped ones. */
  private int linesInSecond;

  /** The number of dropped lines that has been logged so far. */
  private long reportedDropped;

  /**
   * Creates a log whose thread is not yet started.
   *
   * @param process The name of the process.
   * @param boot The identifier of this run of the process.
   * @param output Receives the lines, on the thread of the log.
   */
  public EventLog(String process, String boot, OutputStream output) {
    this.process = process;
    this.boot = boot;
    this.output = output;
    thread = Thread.ofPlatform().name("log").daemon(true).unstarted(this::run);
  }

  /**
   * Begins a line with the current time; may be called by any thread.
   *
   * @param event The name of the event.
   * @return A line to add fields to and {@linkplain LogLine#write() write}.
   */
  public LogLine event(String event) {
    return new LogLine(this, event, System.currentTimeMillis());
  }

  /**
   * Returns the number of lines that were dropped since the start; may be called by any thread.
   *
   * @return The number of lines.
   */
  public long droppedLineCount() {
    return dropped.get();
  }

  /** Queues a line without blocking, or drops it if the queue is full. */
  void offer(LogLine line) {
    if (!queue.offer(line)) {
      dropped.incrementAndGet();
    }
  }

  @Override
  public void start() {
    thread.start();
  }

  @Override
  public void stop() {
    active = false;
    LockSupport.unpark(thread);
    try {
      thread.join(POLL_INTERVAL_NANOS / 1_000_000 * 3);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes lines until the log is stopped and the queue is empty. */
  private void run() {
    while (active || !queue.isEmpty()) {
      try {
        if (writeQueued()) {
          output.flush();
        }
      } catch (IOException exception) {
        dropped.incrementAndGet();
      } catch (RuntimeException | Error thrown) {
        Logger.error(thrown, "unexpected error while writing the event log");
      }
      if (active) {
        LockSupport.parkNanos(this, POLL_INTERVAL_NANOS);
      }
    }
  }

  /**
   * Writes the queued lines and the number of dropped ones.
   *
   * @return {@code true} if at least one line was written.
   */
  private boolean writeQueued() throws IOException {
    boolean any = false;
    for (LogLine line = queue.poll(); line != null; line = queue.poll()) {
      if (isWithinRateLimit(line)) {
        encode(line);
        any = true;
      } else {
        dropped.incrementAndGet();
      }
    }
    long count = dropped.get();
    if (count > reportedDropped) {
      encode(event("log-lines-dropped").with("count", count - reportedDropped));
      reportedDropped = count;
      any = true;
    }
    return any;
  }

  /** Counts a line and checks if its second has reached the limit. */
  private boolean isWithinRateLimit(LogLine line) {
    long second = line.millis() / 1000;
    if (second != currentSecond) {
      currentSecond = second;
      linesInSecond = 0;
    }
    linesInSecond++;
    return linesInSecond <= MAX_LINES_PER_SECOND;
  }

  private void encode(LogLine line) throws IOException {
    try (JsonGenerator json = factory.createGenerator(output)) {
      json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
      json.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
      json.writeStartObject();
      json.writeStringField("time", Instant.ofEpochMilli(line.millis()).toString());
      json.writeStringField("process", process);
      json.writeStringField("boot", boot);
      json.writeStringField("event", line.event());
      line.writeFields(json);
      json.writeEndObject();
      json.writeRaw('\n');
    }
  }
}
