package org.hickoryshed.standin.member;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import org.hickoryshed.client.member.MemberAnswer;
import org.hickoryshed.client.member.MemberRequest;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.protocol.statement.Reason;
import org.hickoryshed.protocol.statement.Statement;

/**
 * Executes requests on the connections of a member and limits how many run concurrently.
 *
 * <p>A request first waits for a slot, then for its simulated execution time, and takes effect
 * atomically under the monitor of the state.
 */
final class RequestRunner {

  /** The time in milliseconds after which an idle connection may be closed. */
  private static final long IDLE_TIMEOUT_MILLIS = 60_000;

  private final MemberState state;

  private final MemberLimits limits;

  private final Semaphore slots;

  /** The open connections by identifier. */
  private final Map<String, StandInConnection> connections = new ConcurrentHashMap<>();

  RequestRunner(MemberState state, MemberLimits limits) {
    this.state = state;
    this.limits = limits;
    slots = new Semaphore(limits.slots(), true);
  }

  /**
   * Opens a connection and first closes those that were idle for too long.
   *
   * @return The identifier of the connection, empty if the limit of connections is reached.
   * @throws InterruptedException If the simulated connect time is interrupted.
   */
  Optional<String> connect() throws InterruptedException {
    Thread.sleep(limits.connectMillis());
    synchronized (connections) {
      connections
          .values()
          .removeIf(open -> open.isIdle(System.currentTimeMillis() - IDLE_TIMEOUT_MILLIS));
      if (connections.size() >= limits.connections()) {
        return Optional.empty();
      }
      String identifier = UUID.randomUUID().toString();
      StandInConnection connection = new StandInConnection();
      connection.tryAcquire(System.currentTimeMillis());
      connection.release();
      connections.put(identifier, connection);
      return Optional.of(identifier);
    }
  }

  /** Closes a connection, which discards the open transaction on it. */
  void close(String identifier) {
    connections.remove(identifier);
  }

  /** Returns the number of open connections. */
  int connections() {
    return connections.size();
  }

  /**
   * Executes a request, at most one at a time on each connection.
   *
   * @param identifier The identifier of the connection.
   * @param request The request.
   * @return The answer, which states the reason if the request was refused.
   * @throws InterruptedException If the wait for a slot or the execution is interrupted.
   */
  MemberAnswer run(String identifier, MemberRequest request) throws InterruptedException {
    StandInConnection connection = connections.get(identifier);
    if (connection == null || !connection.tryAcquire(System.currentTimeMillis())) {
      return refuse(Reason.NO_CONNECTION);
    }
    slots.acquire();
    try {
      long executionMillis =
          request
              .statement()
              .map(
                  statement -> StatementRunner.executionMillis(statement, limits.statementMillis()))
              .orElse(0L);
      Thread.sleep(executionMillis);
      synchronized (state) {
        return connections.containsKey(identifier)
            ? execute(connection, request)
            : refuse(Reason.NO_CONNECTION);
      }
    } finally {
      slots.release();
      connection.release();
    }
  }

  /**
   * Executes a request at once. The caller holds the monitor of the state, and the connection is
   * acquired for this request.
   */
  private MemberAnswer execute(StandInConnection connection, MemberRequest request) {
    if (request.write() && !state.isPrimary()) {
      return refuse(Reason.NOT_PRIMARY);
    }
    return switch (request.action()) {
      case RUN -> runSingleStatement(request);
      case BEGIN -> {
        connection.begin(state.term());
        yield answer(noRows(), state.status().appliedPosition());
      }
      case STEP -> runInTransaction(connection, request);
      case COMMIT -> {
        if (!connection.isOpen(state.term())) {
          yield refuse(Reason.NO_TRANSACTION);
        }
        yield commit(connection.end(), request.key(), false, noRows());
      }
      case ROLLBACK -> {
        connection.end();
        yield answer(noRows(), state.status().appliedPosition());
      }
      case CANCEL -> commit(List.of(), request.key(), true, noRows());
    };
  }

  /** Executes a statement in a transaction of its own. */
  private MemberAnswer runSingleStatement(MemberRequest request) {
    Statement statement = request.statement().orElseThrow();
    Optional<List<LogEntry.Change>> changes = StatementRunner.changes(statement);
    if (changes.isEmpty() || (!request.write() && !changes.get().isEmpty())) {
      return refuse(Reason.REJECTED);
    }
    ArrayNode rows = StatementRunner.rows(statement, state.objects());
    return request.write()
        ? commit(changes.get(), request.key(), false, rows)
        : answer(rows, state.status().appliedPosition());
  }

  /**
   * Executes a statement in the open transaction. Its changes take effect at the commit; its reads
   * do not see them.
   */
  private MemberAnswer runInTransaction(StandInConnection connection, MemberRequest request) {
    if (!connection.isOpen(state.term())) {
      return refuse(Reason.NO_TRANSACTION);
    }
    Statement statement = request.statement().orElseThrow();
    Optional<List<LogEntry.Change>> changes = StatementRunner.changes(statement);
    if (changes.isEmpty()) {
      return refuse(Reason.REJECTED);
    }
    connection.add(changes.get());
    ArrayNode rows = StatementRunner.rows(statement, state.objects());
    return answer(rows, state.status().appliedPosition());
  }

  /**
   * Appends changes to the log, unless the log already records their idempotency key. In that case
   * the answer repeats the recorded outcome.
   *
   * @param changes The changes.
   * @param key The idempotency key, if any.
   * @param cancel {@code true} to record the key as cancelled, so that a later write is refused.
   * @param rows The rows of the answer.
   * @return The answer with the position of the entry that holds the outcome.
   */
  private MemberAnswer commit(
      List<LogEntry.Change> changes, Optional<String> key, boolean cancel, ArrayNode rows) {
    MemberStatus before = state.status();
    Optional<AppliedObjects.RecordedKey> recorded = key.flatMap(state.objects()::key);
    if (recorded.isPresent()) {
      LogPosition position = new LogPosition(before.logTerm(), recorded.get().index());
      return recorded.get().cancelled()
          ? answer(Optional.of(Reason.CANCELLED), noRows(), position)
          : answer(noRows(), position);
    }
    long index = state.append(new LogEntry(before.term(), changes, key, cancel));
    LogPosition position = new LogPosition(before.term(), index);
    return cancel ? answer(Optional.of(Reason.CANCELLED), rows, position) : answer(rows, position);
  }

  /** Answers that a request was not executed. */
  private MemberAnswer refuse(Reason reason) {
    return answer(Optional.of(reason), noRows(), LogPosition.ORIGIN);
  }

  /** Answers an executed request. */
  private MemberAnswer answer(ArrayNode rows, LogPosition position) {
    return answer(Optional.empty(), rows, position);
  }

  /**
   * Creates an answer.
   *
   * @param refusal The reason why nothing was executed, empty if the request was executed.
   * @param rows The rows.
   * @param position The position in the log that the answer reflects.
   * @return The answer, with the current status of this member.
   */
  private MemberAnswer answer(Optional<Reason> refusal, ArrayNode rows, LogPosition position) {
    return new MemberAnswer(refusal, rows, rows.size(), position, state.status());
  }

  private static ArrayNode noRows() {
    return Json.mapper().createArrayNode();
  }
}
