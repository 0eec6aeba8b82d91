package org.hickoryshed.session;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntSupplier;
import org.hickoryshed.kernel.process.Descriptors;
import org.hickoryshed.session.caller.CallerSession;
import org.hickoryshed.session.caller.SessionContext;
import org.hickoryshed.session.net.Connection;
import org.tinylog.Logger;

/** The open sessions of callers, all of which belong to the event loop. */
final class OpenSessions {

  /** A caller is disconnected if more bytes than this wait to be sent to it. */
  private static final int MAX_CALLER_OUTPUT_BYTES = 12 * 1024 * 1024;

  /** A session that was used this shortly before is not closed for another one. */
  private static final long MIN_IDLE_NANOS = 1_000_000_000;

  private final SessionContext context;

  private final IntSupplier limit;

  /** The sessions in the order in which they were accepted. */
  private final Set<CallerSession> sessions = new LinkedHashSet<>();

  /** The size of {@link #sessions}, for other threads. */
  private volatile int count;

  /** True if no further statement is executed, since the process is about to end. */
  private boolean refusing;

  /**
   * Creates an empty set of sessions.
   *
   * @param context What all sessions share.
   * @param limit The highest number of open sessions, read for each new session.
   */
  OpenSessions(SessionContext context, IntSupplier limit) {
    this.context = context;
    this.limit = limit;
  }

  /** Returns the number of open sessions; may be called by any thread. */
  int count() {
    return count;
  }

  /** Opens a session on an accepted connection, or closes the connection if too many are in use. */
  void accept(SocketChannel channel) {
    CallerSession session = new CallerSession(context);
    try {
      if (!makeRoom(Math.min(limit.getAsInt(), Descriptors.forSessions()))) {
        context.metrics().counter("sessions_refused", "reason", "limit").inc();
        channel.close();
        return;
      }
      // Two more bytes hold the terminator of the message.
      Connection.Limits limits =
          new Connection.Limits(
              context.wireFormat().maxMessageBytes() + 2, MAX_CALLER_OUTPUT_BYTES);
      session.attach(context.loop().registerAccepted(channel, session, limits));
      sessions.add(session);
      count = sessions.size();
      if (refusing) {
        session.refuseStatements();
      }
    } catch (IOException exception) {
      Logger.warn("accepting a session failed: {}", exception.getMessage());
    }
  }

  /**
   * Closes sessions until there are fewer than a limit: first the oldest ones that opened no
   * database, then those that have been idle longest; {@code false} if too many are in use.
   */
  private boolean makeRoom(int highest) {
    while (sessions.size() >= highest) {
      Optional<CallerSession> dispensable = findDispensable();
      if (dispensable.isEmpty()) {
        return false;
      }
      context.metrics().counter("sessions_closed", "reason", "limit").inc();
      dispensable.get().close("the process holds too many sessions");
    }
    return true;
  }

  private Optional<CallerSession> findDispensable() {
    Optional<CallerSession> unopened =
        sessions.stream()
            .filter(session -> !session.hasDatabase() && session.idleSince().isPresent())
            .findFirst();
    long latest = context.loop().now() - MIN_IDLE_NANOS;
    return unopened.or(
        () ->
            sessions.stream()
                .filter(session -> session.idleSince().isPresent())
                .min(Comparator.comparingLong(session -> session.idleSince().getAsLong()))
                .filter(session -> session.idleSince().getAsLong() - latest <= 0));
  }

  /** Removes a session that has ended. */
  void remove(CallerSession session) {
    sessions.remove(session);
    count = sessions.size();
  }

  /**
   * Asks a part of the sessions, the oldest ones, to close as soon as they are idle.
   *
   * @param divisor The part as a divisor of the number of sessions.
   */
  void closeIdle(int divisor) {
    List.copyOf(sessions).stream()
        .limit((sessions.size() + divisor - 1) / divisor)
        .forEach(CallerSession::closeWhenIdle);
  }

  /** Checks all sessions against a new desired state. */
  void checkIdentities() {
    List.copyOf(sessions).forEach(CallerSession::checkIdentity);
  }

  /** Refuses the further statements of all sessions, those that are accepted later included. */
  void refuseStatements() {
    refusing = true;
    List.copyOf(sessions).forEach(CallerSession::refuseStatements);
  }

  /** Ends all sessions now, with a response to each running statement. */
  void finish() {
    List.copyOf(sessions).forEach(CallerSession::finishForStop);
  }
}
