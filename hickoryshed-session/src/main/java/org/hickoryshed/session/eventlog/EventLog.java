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
 * Writes one JSON object a line for each decision.
 *
 * <p>Lines wait in a bounded ring for a thread of their own. A line that finds the ring full, or
 * the budget of the second spent, is dropped and counted; the count is told in a line of its own.
 */
public final class EventLog implements Service {

  /** The number of lines that wait at most. */
  private static final int RING = 1024;

  /** The number of lines that are written in a second at most. */
  private static final int LINES_A_SECOND = 250;

  /** The pause of the writing thread when no line waits, in nanoseconds. */
  private static final long PAUSE_NANOS = 100_000_000;

  /** The encoder. */
  private final JsonFactory factory = new JsonFactory();

  /** The lines that wait. */
  private final MpscAtomicArrayQueue<LogLine> ring = new MpscAtomicArrayQueue<>(RING);

  /** The number of lines that were dropped. */
  private final AtomicLong dropped = new AtomicLong();

  /** The name of this process in the lines. */
  private final String process;

  /** The identifier of this run of the process. */
  private final String boot;

  /** Where the lines go. */
  private final OutputStream output;

  /** The thread that writes. */
  private final Thread thread;

  /** True while the thread is to continue. */
  private volatile boolean active = true;

  /** The second of the budget that is being spent. */
  private long budgetSecond;

  /** The lines that were written in that second. */
  private int written;

  /** The number of dropped lines that was last told. */
  private long toldDropped;

  /**
   * Creates a new log.
   *
   * @param process The name of the process.
   * @param boot The identifier of this run of the process.
   * @param output Where the lines go.
   */
  public EventLog(String process, String boot, OutputStream output) {
    this.process = process;
    this.boot = boot;
    this.output = output;
    thread = Thread.ofPlatform().name("log").daemon(true).unstarted(this::run);
  }

  /**
   * Starts a line.
   *
   * @param event The name of the event.
   * @return A line to complete and {@linkplain LogLine#write() write}.
   */
  public LogLine event(String event) {
    return new LogLine(this, event, System.currentTimeMillis());
  }

  /**
   * Returns the number of dropped lines.
   *
   * @return The number of lines.
   */
  public long droppedLineCount() {
    return dropped.get();
  }

  /**
   * Takes a line without blocking.
   *
   * @param line The line.
   */
  void offer(LogLine line) {
    if (!ring.offer(line)) {
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
      thread.join(PAUSE_NANOS / 1_000_000 * 3);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Writes lines until this log is stopped and the ring is empty. */
  private void run() {
    while (active || !ring.isEmpty()) {
      try {
        if (writeWaiting()) {
          output.flush();
        }
      } catch (IOException exception) {
        dropped.incrementAndGet();
      } catch (RuntimeException exception) {
        Logger.error(exception, "the log duty met a defect");
      }
      if (active) {
        LockSupport.parkNanos(this, PAUSE_NANOS);
      }
    }
  }

  /**
   * Writes the lines that wait.
   *
   * @return {@code true} if at least one line was written.
   * @throws IOException If the output fails.
   */
  private boolean writeWaiting() throws IOException {
    boolean any = false;
    for (LogLine line = ring.poll(); line != null; line = ring.poll()) {
      if (withinBudget(line)) {
        encode(line);
        any = true;
      } else {
        dropped.incrementAndGet();
      }
    }
    long count = dropped.get();
    if (count > toldDropped) {
      encode(event("log-lines-dropped").with("count", count - toldDropped));
      toldDropped = count;
      any = true;
    }
    return any;
  }

  /**
   * Spends a part of the budget of the present second.
   *
   * @param line The line to write.
   * @return {@code true} if the line may be written.
   */
  private boolean withinBudget(LogLine line) {
    long second = line.millis() / 1000;
    if (second != budgetSecond) {
      budgetSecond = second;
      written = 0;
    }
    written++;
    return written <= LINES_A_SECOND;
  }

  /**
   * Encodes a line.
   *
   * @param line The line.
   * @throws IOException If the output fails.
   */
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
