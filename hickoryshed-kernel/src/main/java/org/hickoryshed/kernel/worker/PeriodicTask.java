package org.hickoryshed.kernel.worker;

import java.time.Duration;
import org.hickoryshed.kernel.service.Service;
import org.tinylog.Logger;

/**
 * Runs an action again and again on a virtual thread, with a fixed pause after each run. An
 * exception of the action is logged and the action runs again at once, without the pause.
 */
public final class PeriodicTask implements Service {

  private final String name;

  private final Duration pause;

  private final Runnable action;

  private final Thread thread;

  private volatile boolean running = true;

  /**
   * Creates a task whose thread is not yet started. Its first run follows the start at once.
   *
   * @param name The name of the task and its thread.
   * @param pause The pause between the end of a run and the start of the next.
   * @param action The action, which may block. An interrupt ends its wait when the task is stopped.
   */
  public PeriodicTask(String name, Duration pause, Runnable action) {
    this.name = name;
    this.pause = pause;
    this.action = action;
    thread = Thread.ofVirtual().name(name).unstarted(this::run);
  }

  @Override
  public void start() {
    thread.start();
  }

  @Override
  public void stop() {
    running = false;
    thread.interrupt();
  }

  private void run() {
    while (running) {
      try {
        action.run();
      } catch (RuntimeException | Error thrown) {
        Logger.error(thrown, "unexpected exception in periodic task {}", name);
      }
      try {
        Thread.sleep(pause);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
