package org.hickoryshed.session;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.hickoryshed.kernel.worker.PeriodicTask;
import org.hickoryshed.session.eventlog.EventLog;

/**
 * Watches the settings file of a process and passes changed settings on.
 *
 * <p>The file is polled, since it may change without a signal to the process, and read at once on
 * {@link #reloadNow()}. Settings with problems are refused as a whole: the problems are logged and
 * the settings in force stay.
 */
public final class SettingsFileWatcher implements Service {

  private static final Duration POLL_INTERVAL = Duration.ofSeconds(2);

  private final Path file;

  private final Consumer<SessionSettings> receiver;

  private final EventLog log;

  private final PeriodicTask polling =
      new PeriodicTask("settings", POLL_INTERVAL, () -> reload(false));

  /** The content that was read last, valid or not, so that its problems are logged only once. */
  private String content;

  /** False if the last attempt to read the file failed, which is logged only once. */
  private boolean readable = true;

  /**
   * Creates a watcher that is not yet started.
   *
   * @param file The settings file.
   * @param content The content of the file that is in force.
   * @param receiver Receives changed settings, on the polling thread or on that of the caller of
   *     {@link #reloadNow()}, never on both at once.
   * @param log The log of the outcomes.
   */
  public SettingsFileWatcher(
      Path file, String content, Consumer<SessionSettings> receiver, EventLog log) {
    this.file = file;
    this.content = content;
    this.receiver = receiver;
    this.log = log;
  }

  @Override
  public void start() {
    polling.start();
  }

  @Override
  public void stop() {
    polling.stop();
  }

  /**
   * Reads the file now, as on a signal, and logs the outcome even if nothing changed; may be called
   * by any thread.
   */
  public void reloadNow() {
    reload(true);
  }

  /**
   * Reads the file and passes changed settings on.
   *
   * @param onRequest {@code true} to log also that the file is unchanged or still unreadable.
   */
  private synchronized void reload(boolean onRequest) {
    String read;
    try {
      read = Files.readString(file);
    } catch (IOException exception) {
      if (readable || onRequest) {
        log.event("reload").with("outcome", "unreadable").with("reason", exception).write();
      }
      readable = false;
      return;
    }
    readable = true;
    if (read.equals(content)) {
      if (onRequest) {
        log.event("reload").with("outcome", "unchanged").write();
      }
      return;
    }
    content = read;
    SettingsReader reader = new SettingsReader(file.toString(), read);
    SessionSettings settings = SessionSettings.read(reader);
    List<SettingsProblem> problems = reader.problems();
    if (problems.isEmpty()) {
      receiver.accept(settings);
    } else {
      problems.forEach(
          problem ->
              log.event("reload").with("outcome", "refused").with("reason", problem).write());
    }
  }
}
