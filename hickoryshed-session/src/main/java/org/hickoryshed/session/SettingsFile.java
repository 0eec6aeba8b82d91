package org.hickoryshed.session;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.hickoryshed.session.journal.EventLog;

/**
 * Follows the settings file of a process.
 *
 * <p>The file may change with or without a signal. Settings with problems are refused as a whole
 * and those in force stay.
 */
public final class SettingsFile implements Service {

  /** The pause between two looks at the file. */
  private static final Duration PAUSE = Duration.ofSeconds(2);

  /** The file. */
  private final Path file;

  /** Takes changed settings. */
  private final Consumer<SessionSettings> receiver;

  /** The log. */
  private final EventLog log;

  /** The thread. */
  private final Thread thread;

  /** True while the thread is to continue. */
  private volatile boolean active = true;

  /** True once a look was asked for. */
  private volatile boolean asked;

  /** The content that was read last. */
  private String content;

  /** True unless the last look found no readable file. */
  private boolean readable = true;

  /**
   * Creates a follower of a file.
   *
   * @param file The file.
   * @param content The content that is in force.
   * @param receiver Takes changed settings, on a thread of this follower.
   * @param log The log.
   */
  public SettingsFile(Path file, String content, Consumer<SessionSettings> receiver, EventLog log) {
    this.file = file;
    this.content = content;
    this.receiver = receiver;
    this.log = log;
    thread = Thread.ofPlatform().name("settings").daemon(true).unstarted(this::run);
  }

  @Override
  public void start() {
    thread.start();
  }

  @Override
  public void stop() {
    active = false;
    LockSupport.unpark(thread);
  }

  /** Asks for a look at the file now; may be called by any thread. */
  public void look() {
    asked = true;
    LockSupport.unpark(thread);
  }

  /** Looks at the file again and again until this follower is stopped. */
  private void run() {
    while (active) {
      LockSupport.parkNanos(this, PAUSE.toNanos());
      boolean signalled = asked;
      asked = false;
      if (active) {
        read(signalled);
      }
    }
  }

  /**
   * Reads the file and hands changed settings on.
   *
   * @param signalled True if a signal asked for it, which is logged without a change too.
   */
  private void read(boolean signalled) {
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
