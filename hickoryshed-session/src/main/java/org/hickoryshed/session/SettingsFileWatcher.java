package org.hickoryshed.session;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import org.hickoryshed.kernel.duty.PeriodicDuty;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.hickoryshed.session.eventlog.EventLog;

/**
 * Follows the settings file of a process.
 *
 * <p>The file may change with or without a signal. Settings with problems are refused as a whole
 * and those in force stay.
 */
public final class SettingsFileWatcher implements Service {

  /** The pause between two looks at the file. */
  private static final Duration PAUSE = Duration.ofSeconds(2);

  /** The file. */
  private final Path file;

  /** Takes changed settings. */
  private final Consumer<SessionSettings> receiver;

  /** The log. */
  private final EventLog log;

  /** Looks at the file again and again. */
  private final PeriodicDuty duty = new PeriodicDuty("settings", PAUSE, () -> read(false));

  /** The content that was read last. */
  private String content;

  /** True unless the last look found no readable file. */
  private boolean readable = true;

  /**
   * Creates a follower of a file.
   *
   * @param file The file.
   * @param content The content that is in force.
   * @param receiver Takes changed settings, on any thread.
   * @param log The log.
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
    duty.start();
  }

  @Override
  public void stop() {
    duty.stop();
  }

  /** Looks at the file now; may be called by any thread. */
  public void reloadNow() {
    read(true);
  }

  /**
   * Reads the file and hands changed settings on.
   *
   * @param signalled True if a signal asked for it, which is logged without a change too.
   */
  private synchronized void read(boolean signalled) {
    String read;
    try {
      read = Files.readString(file);
    } catch (IOException exception) {
      if (readable || signalled) {
        log.event("reload").with("outcome", "unreadable").with("reason", exception).write();
      }
      readable = false;
      return;
    }
    readable = true;
    if (read.equals(content)) {
      if (signalled) {
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
