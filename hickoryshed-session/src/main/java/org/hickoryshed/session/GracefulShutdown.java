package org.hickoryshed.session;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntSupplier;
import java.util.function.Supplier;
import org.hickoryshed.session.eventlog.EventLog;

/**
 * Shuts the process down gracefully: it is reported as not ready at once, so that new sessions go
 * elsewhere, then its sessions are drained, and the process exits.
 */
public final class GracefulShutdown {

  private final SessionServer server;

  private final IntSupplier lentConnections;

  private final EventLog log;

  private final Supplier<Duration> gracePeriod;

  private final AtomicBoolean started = new AtomicBoolean();

  /**
   * Creates a shutdown that is not yet started.
   *
   * @param server The server whose sessions are closed.
   * @param lentConnections The number of connections that are lent to other proxies; called on the
   *     shutdown's thread.
   * @param log The log, which is stopped before the process exits.
   * @param gracePeriod The time between the request to stop and the end of the process, read when
   *     the shutdown starts.
   */
  public GracefulShutdown(
      SessionServer server,
      IntSupplier lentConnections,
      EventLog log,
      Supplier<Duration> gracePeriod) {
    this.server = server;
    this.lentConnections = lentConnections;
    this.log = log;
    this.gracePeriod = gracePeriod;
  }

  /**
   * Starts the shutdown on a thread of its own, which ends the process; may be called by any
   * thread. Further calls have no effect.
   */
  public void start() {
    if (started.compareAndSet(false, true)) {
      server.startDraining();
      log.event("stop-requested").with("sessions", server.sessionCount()).write();
      Thread.ofPlatform().name("shutdown").start(this::run);
    }
  }

  private void run() {
    try {
      new SessionDrain(server, lentConnections, gracePeriod.get()).run();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    log.event("stop")
        .with("sessions-left", server.sessionCount())
        .with("loans-left", lentConnections.getAsInt())
        .write();
    log.stop();
    System.exit(0);
  }
}
