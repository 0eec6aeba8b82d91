package org.hickoryshed.kernel.worker;

import java.time.Duration;
import org.hickoryshed.kernel.service.Service;
import org.tinylog.Logger;

/** A thread that repeats one step with a fixed pause. */
public final class PeriodicTask implements Service {

  /** The name of this duty. */
  private final String name;

  /** The pause between two steps. */
  private final Duration pause;

  /** The step that is repeated. */
  private final Runnable step;

  /** The thread that carries this duty. */
  private final Thread thread;

  /** True while this duty is to continue. */
  private volatile boolean active = true;

  /**
   * Creates a new periodic duty.
   *
   * @param name The name of the duty and its thread.
   * @param pause The pause between two steps.
   * @param step The step that is repeated.
   */
  public PeriodicTask(String name, Duration pause, Runnable step) {
    this.name = name;
    this.pause = pause;
    this.step = step;
    thread = Thread.ofVirtual().name(name).unstarted(this::run);
  }

  @Override
  public void start() {
    thread.start();
  }

  @Override
  public void stop() {
    active = false;
    thread.interrupt();
  }

  /** Repeats the step until this duty is stopped. */
  private void run() {
    while (active) {
      try {
        step.run();
        Thread.sleep(pause);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
        return;
      } catch (RuntimeException exception) {
        Logger.error(exception, "duty {} met a defect", name);
      }
    }
  }
}
