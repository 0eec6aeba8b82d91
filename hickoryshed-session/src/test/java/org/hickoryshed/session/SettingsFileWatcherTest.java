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

/** Tests that changes of the settings file are detected, validated and passed on. */
class SettingsFileWatcherTest {

  private static final long TIMEOUT_NANOS = 10_000_000_000L;
  private static final long POLL_NANOS = 5_000_000L;

  @TempDir private Path folder;
  private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
  private final EventLog log = new EventLog("p1", "b00t", logOutput);
  private final List<SessionSettings> received = new CopyOnWriteArrayList<>();
  private Path file;
  private SettingsFileWatcher watcher;

  @BeforeEach
  void start() throws IOException {
    file = folder.resolve("proxy.toml");
    Files.writeString(file, settings("127.0.0.1:9000", 100));
    watcher = new SettingsFileWatcher(file, Files.readString(file), received::add, log);
    log.start();
    watcher.start();
  }

  @AfterEach
  void stop() {
    watcher.stop();
    log.stop();
  }

  @Test
  void detectsAChangeByPolling() throws IOException {
    Files.writeString(file, settings("127.0.0.1:9001", 100));
    await(() -> !received.isEmpty());
    assertThat(received.get(0).storeAddress().getPort()).isEqualTo(9001);
  }

  @Test
  void logsThatNothingChangedOnRequest() {
    watcher.reloadNow();
    await(() -> logged("unchanged"));
    assertThat(received).isEmpty();
  }

  @Test
  void refusesInvalidSettingsAndPassesTheNextValidOnesOn() throws IOException {
    Files.writeString(file, settings("nowhere", 0));
    watcher.reloadNow();
    await(() -> logged("platform.store") && logged("session-limit"));
    assertThat(received).isEmpty();

    Files.writeString(file, settings("127.0.0.1:9000", 200));
    watcher.reloadNow();
    await(() -> !received.isEmpty());
    assertThat(received.get(0).sessionLimit()).isEqualTo(200);
  }

  private boolean logged(String text) {
    return logOutput.toString(StandardCharsets.UTF_8).contains(text);
  }

  private static void await(BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT_NANOS;
    while (!condition.getAsBoolean()) {
      assertThat(System.nanoTime() - end).as("the condition was not met in time").isNegative();
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
