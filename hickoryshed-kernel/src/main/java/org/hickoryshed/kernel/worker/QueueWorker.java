package org.hickoryshed.kernel.worker;

import java.lang.invoke.VarHandle;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.hickoryshed.kernel.service.Service;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.tinylog.Logger;

/**
 * A thread that handles the events of one bounded ring in their order of arrival.
 *
 * @param <E> The type of the events.
 */
public final class QueueWorker<E> implements Service {

  /** The number of events that are handled before the tick is considered again. */
  private static final int BATCH = 256;

  /** The name of this duty. */
  private final String name;

  /** The handler of the events. */
  private final Handler<E> handler;

  /** The longest time between two ticks. */
  private final Duration tick;

  /** The ring that holds the events that are not yet handled. */
  private final MpscAtomicArrayQueue<E> ring;

  /** The thread that carries this duty. */
  private final Thread thread;

  /** True while this duty is to continue. */
  private volatile boolean active = true;

  /** True while the thread is parked or about to park. */
  private volatile boolean idle;

  /**
   * Creates a new duty.
   *
   * @param name The name of the duty and its thread.
   * @param capacity The number of events that the ring holds at most.
   * @param tick The longest time between two ticks.
   * @param handler The handler of the events.
   */
  public QueueWorker(String name, int capacity, Duration tick, Handler<E> handler) {
    this.name = name;
    this.handler = handler;
    this.tick = tick;
    ring = new MpscAtomicArrayQueue<>(capacity);
    thread = Thread.ofPlatform().name(name).daemon(true).unstarted(this::run);
  }

  /**
   * Offers an event to this duty.
   *
   * @param event The event.
   * @return {@code true} if the event was taken, {@code false} if the ring is full.
   */
  public boolean offer(E event) {
    boolean taken = ring.offer(event);
    // The ring stores with release order only; without the fence this thread could read the flag of
    // an idle thread before that thread can see the event, and leave it parked.
    VarHandle.fullFence();
    if (taken && idle) {
      LockSupport.unpark(thread);
    }
    return taken;
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

  /** Handles events and ticks until this duty is stopped. */
  private void run() {
    long nextTick = System.nanoTime() + tick.toNanos();
    while (active) {
      guard(() -> ring.drain(handler::onEvent, BATCH));
      long now = System.nanoTime();
      if (now - nextTick >= 0) {
        guard(handler::onTick);
        nextTick = now + tick.toNanos();
      }
      park(nextTick - now);
    }
  }

  /**
   * Parks the thread unless an event is waiting.
   *
   * @param nanoseconds The longest time to park.
   */
  private void park(long nanoseconds) {
    idle = true;
    if (ring.isEmpty() && active) {
      LockSupport.parkNanos(this, nanoseconds);
    }
    idle = false;
  }

  /**
   * Runs a step of this duty so that a defect in it does not end the thread.
   *
   * @param step The step.
   */
  private void guard(Runnable step) {
    try {
      step.run();
    } catch (RuntimeException exception) {
      Logger.error(exception, "duty {} met a defect", name);
    }
  }

  /**
   * A handler of the events of a duty.
   *
   * @param <E> The type of the events.
   */
  public interface Handler<E> {

    /**
     * Handles an event.
     *
     * @param event The event.
     */
    void onEvent(E event);

    /** Handles the passing of time. */
    void onTick();
  }
}
