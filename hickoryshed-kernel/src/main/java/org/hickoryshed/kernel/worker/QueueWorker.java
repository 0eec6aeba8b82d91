package org.hickoryshed.kernel.worker;

import java.lang.invoke.VarHandle;
import java.time.Duration;
import java.util.concurrent.locks.LockSupport;
import org.hickoryshed.kernel.service.Service;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;
import org.tinylog.Logger;

/**
 * A single thread that handles the items of one bounded queue in their order of arrival.
 *
 * <p>State that only the handler touches needs no locks, as only this thread calls the handler. Any
 * thread may offer items. An exception of the handler is logged and the thread goes on with the
 * next item.
 *
 * @param <E> The type of the items.
 */
public final class QueueWorker<E> implements Service {

  /** The largest number of items that are handled between two checks whether a tick is due. */
  private static final int BATCH = 256;

  private final String name;

  private final Handler<E> handler;

  private final Duration tickInterval;

  private final MpscAtomicArrayQueue<E> queue;

  private final Thread thread;

  private volatile boolean running = true;

  /** True while the thread is parked or about to park, so that an offer has to wake it. */
  private volatile boolean idle;

  /**
   * Creates a worker whose thread is not yet started.
   *
   * @param name The name of the worker and its thread.
   * @param capacity The largest number of waiting items, rounded up to a power of two.
   * @param tickInterval The longest time between two ticks while no item is being handled.
   * @param handler The handler of the items, called by the thread of this worker only.
   */
  public QueueWorker(String name, int capacity, Duration tickInterval, Handler<E> handler) {
    this.name = name;
    this.handler = handler;
    this.tickInterval = tickInterval;
    queue = new MpscAtomicArrayQueue<>(capacity);
    thread = Thread.ofPlatform().name(name).daemon(true).unstarted(this::run);
  }

  /**
   * Adds an item to the queue without blocking. Any thread may call this method, also before the
   * start of this worker.
   *
   * @param item The item.
   * @return {@code true} if the item was added, {@code false} if the queue is full.
   */
  public boolean offer(E item) {
    boolean accepted = queue.offer(item);
    // The queue publishes an item with release ordering only. Without the fence, this thread could
    // read a stale idle flag before the item is visible to the worker, which would then stay parked
    // although an item waits.
    VarHandle.fullFence();
    if (accepted && idle) {
      LockSupport.unpark(thread);
    }
    return accepted;
  }

  @Override
  public void start() {
    thread.start();
  }

  @Override
  public void stop() {
    running = false;
    LockSupport.unpark(thread);
  }

  private void run() {
    long nextTick = System.nanoTime() + tickInterval.toNanos();
    while (running) {
      runAndLogFailure(() -> queue.drain(handler::onItem, BATCH));
      long now = System.nanoTime();
      if (now - nextTick >= 0) {
        runAndLogFailure(handler::onTick);
        nextTick = now + tickInterval.toNanos();
      }
      park(nextTick - now);
    }
  }

  /** Parks the thread unless an item is waiting. */
  private void park(long nanoseconds) {
    idle = true;
    if (queue.isEmpty() && running) {
      LockSupport.parkNanos(this, nanoseconds);
    }
    idle = false;
  }

  /** Logs what the action throws, errors included, instead of letting it end the thread. */
  private void runAndLogFailure(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException | Error thrown) {
      Logger.error(thrown, "unexpected exception in worker {}", name);
    }
  }

  /**
   * Handles the items and ticks of a worker. Both methods are called by the thread of the worker
   * only.
   *
   * @param <E> The type of the items.
   */
  public interface Handler<E> {

    /**
     * Handles an item. An exception is logged, and the worker goes on with the next item.
     *
     * @param item The item.
     */
    void onItem(E item);

    /**
     * Called at the tick interval, or later if items are being handled, to check what depends on
     * time.
     */
    void onTick();
  }
}
