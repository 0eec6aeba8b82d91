package org.hickoryshed.session.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.util.concurrent.CountDownLatch;
import org.hickoryshed.kernel.json.Json;
import org.junit.jupiter.api.Test;

/** Tests the format of the event log, and that it drops and counts lines instead of blocking. */
class EventLogTest {

  private static final int MANY = 5000;

  @Test
  void writesOneJsonObjectPerLine() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    EventLog log = new EventLog("p1", "b1", output);
    log.start();
    log.event("member-gone").with("member", "m \"1\"\n").with("age-ms", 7L).write();
    log.stop();

    JsonNode line = Json.read(output.toByteArray(), JsonNode.class).value().orElseThrow();
    assertThat(line.path("process").asText()).isEqualTo("p1");
    assertThat(line.path("boot").asText()).isEqualTo("b1");
    assertThat(line.path("event").asText()).isEqualTo("member-gone");
    assertThat(line.path("member").asText()).isEqualTo("m \"1\"\n");
    assertThat(line.path("age-ms").asLong()).isEqualTo(7);
  }

  @Test
  void dropsLinesInsteadOfBlocking() {
    CountDownLatch released = new CountDownLatch(1);
    EventLog log = new EventLog("p1", "b1", new BlockedOutput(released));
    log.start();
    for (int number = 0; number < MANY; number++) {
      log.event("statement-failed").with("number", number).write();
    }

    assertThat(log.droppedLineCount()).isPositive();
    released.countDown();
    log.stop();
  }

  @Test
  void logsNumberOfDroppedLines() {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    EventLog log = new EventLog("p1", "b1", output);
    for (int number = 0; number < MANY; number++) {
      log.event("statement-failed").write();
    }
    log.start();
    log.stop();

    assertThat(output.toString(java.nio.charset.StandardCharsets.UTF_8))
        .contains("\"event\":\"log-lines-dropped\",\"count\":" + log.droppedLineCount());
  }

  /** An output that blocks until it is released. */
  private static final class BlockedOutput extends OutputStream {

    private final CountDownLatch released;

    private BlockedOutput(CountDownLatch released) {
      this.released = released;
    }

    @Override
    public void write(int value) {
      try {
        released.await();
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
