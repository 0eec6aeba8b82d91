package org.hickoryshed.session;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import org.hickoryshed.session.eventlog.EventLog;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of a settings file that changes. */
class SettingsFileWatcherTest {

  private static final long PATIENCE_NANOS = 10_000_000_000L;
  private static final long POLL_NANOS = 5_000_000L;

  @TempDir private Path folder;
  private final ByteArrayOutputStream lines = new ByteArrayOutputStream();
  private final EventLog log = new EventLog("p1", "b00t", lines);
  private final List<SessionSettings> received = new CopyOnWriteArrayList<>();
  private Path path;
  private SettingsFileWatcher file;

  @BeforeEach
  void start() throws IOException {
    path = folder.resolve("proxy.toml");
    Files.writeString(path, settings("127.0.0.1:9000", 100));
    file = new SettingsFileWatcher(path, Files.readString(path), received::add, log);
    log.start();
    file.start();
  }

  @AfterEach
  void stop() {
    file.stop();
    log.stop();
  }

  @Test
  void noticesAChangeWithoutASignal() throws IOException {
    Files.writeString(path, settings("127.0.0.1:9001", 100));
    await(() -> !received.isEmpty());
    assertThat(received.get(0).storeAddress().getPort()).isEqualTo(9001);
  }

  @Test
  void saysThatNothingChangedWhenItIsAsked() {
    file.reloadNow();
    await(() -> logged("unchanged"));
    assertThat(received).isEmpty();
  }

  @Test
  void refusesSettingsWithProblemsAndTakesTheNextOnes() throws IOException {
    Files.writeString(path, settings("nowhere", 0));
    file.reloadNow();
    await(() -> logged("platform.store") && logged("session-limit"));
    assertThat(received).isEmpty();

    Files.writeString(path, settings("127.0.0.1:9000", 200));
    file.reloadNow();
    await(() -> !received.isEmpty());
    assertThat(received.get(0).sessionLimit()).isEqualTo(200);
  }

  private boolean logged(String text) {
    return lines.toString(StandardCharsets.UTF_8).contains(text);
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + PATIENCE_NANOS;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() - end).as("it did not happen in time").isNegative();
      LockSupport.parkNanos(POLL_NANOS);
    }
  }

  private static String settings(String store, int sessionLimit) {
    return """
    name = "p1"
    domain = "a"
    caller-address = "127.0.0.1:8000"
    admin-address = "127.0.0.1:8001"
    peer-address = "127.0.0.1:8002"
    session-limit = %d
    [platform]
    store = "%s"
    promotion = "127.0.0.1:9002"
    [domains.a]
    region = "r"
    """
        .formatted(sessionLimit, store);
  }
}
