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

/** Runs requests on the connections of a member, within its slots. */
final class RequestRunner {

  /** The time in milliseconds after which an idle connection is closed. */
  private static final long IDLE_LIMIT = 60_000;

  /** The state of the member. */
  private final MemberState state;

  /** The limits of the member. */
  private final MemberLimits limits;

  /** The slots. */
  private final Semaphore slots;

  /** The open connections by their identifiers. */
  private final Map<String, StandInConnection> connections = new ConcurrentHashMap<>();

  /**
   * Creates a new runner.
   *
   * @param state The state of the member.
   * @param limits The limits of the member.
   */
  RequestRunner(MemberState state, MemberLimits limits) {
    this.state = state;
    this.limits = limits;
    slots = new Semaphore(limits.slots(), true);
  }

  /**
   * Opens a connection.
   *
   * @return The identifier of the connection or an empty optional if there are too many.
   * @throws InterruptedException If the set-up is interrupted.
   */
  Optional<String> connect() throws InterruptedException {
    Thread.sleep(limits.connectMillis());
    synchronized (connections) {
      connections.values().removeIf(held -> held.isIdle(System.currentTimeMillis() - IDLE_LIMIT));
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

  /**
   * Closes a connection and rolls back what is open on it.
   *
   * @param identifier The identifier of the connection.
   */
  void close(String identifier) {
    connections.remove(identifier);
  }

  /**
   * Counts the open connections.
   *
   * @return The number of open connections.
   */
  int connections() {
    return connections.size();
  }

  /**
   * Runs a request.
   *
   * @param identifier The identifier of the connection.
   * @param request The request.
   * @return The answer.
   * @throws InterruptedException If the wait for a slot is interrupted.
   */
  MemberAnswer run(String identifier, MemberRequest request) throws InterruptedException {
    StandInConnection connection = connections.get(identifier);
    if (connection == null || !connection.tryAcquire(System.currentTimeMillis())) {
      return refuse(Reason.NO_CONNECTION);
    }
    slots.acquire();
    try {
      long cost =
          request
              .statement()
              .map(statement -> StatementRunner.cost(statement, limits.statementMillis()))
              .orElse(0L);
      Thread.sleep(cost);
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
   * Executes a request under the monitor of the state.
   *
   * @param connection The connection.
   * @param request The request.
   * @return The answer.
   */
  private MemberAnswer execute(StandInConnection connection, MemberRequest request) {
    if (request.write() && !state.isPrimary()) {
      return refuse(Reason.NOT_PRIMARY);
    }
    return switch (request.action()) {
      case RUN -> runAlone(request);
      case BEGIN -> {
        connection.begin(state.term());
        yield answer(noRows(), state.status().appliedPosition());
      }
      case STEP -> step(connection, request);
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

  /**
   * Runs a statement in a transaction of its own.
   *
   * @param request The request.
   * @return The answer.
   */
  private MemberAnswer runAlone(MemberRequest request) {
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
   * Runs a statement in the open transaction.
   *
   * @param connection The connection.
   * @param request The request.
   * @return The answer.
   */
  private MemberAnswer step(StandInConnection connection, MemberRequest request) {
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
   * Commits changes unless their idempotency key is recorded already.
   *
   * @param changes The changes.
   * @param key The idempotency key.
   * @param cancel {@code true} if the key is to be recorded as cancelled.
   * @param rows The rows of the answer.
   * @return The answer.
   */
  private MemberAnswer commit(
      List<LogEntry.Change> changes, Optional<String> key, boolean cancel, ArrayNode rows) {
    MemberStatus before = state.status();
    Optional<AppliedObjects.KeyRecord> recorded = key.flatMap(state.objects()::key);
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

  /**
   * Refuses a request without running it.
   *
   * @param reason The reason.
   * @return The answer.
   */
  private MemberAnswer refuse(Reason reason) {
    return answer(Optional.of(reason), noRows(), LogPosition.ORIGIN);
  }

  /**
   * Answers a request.
   *
   * @param rows The rows.
   * @param position The position that the answer reflects.
   * @return The answer.
   */
  private MemberAnswer answer(ArrayNode rows, LogPosition position) {
    return answer(Optional.empty(), rows, position);
  }

  /**
   * Answers a request.
   *
   * @param refusal The reason why nothing ran, if nothing ran.
   * @param rows The rows.
   * @param position The position that the answer reflects.
   * @return The answer.
   */
  private MemberAnswer answer(Optional<Reason> refusal, ArrayNode rows, LogPosition position) {
    return new MemberAnswer(refusal, rows, rows.size(), position, state.status());
  }

  /**
   * Returns an empty list of rows.
   *
   * @return An empty list of rows.
   */
  private static ArrayNode noRows() {
    return Json.mapper().createArrayNode();
  }
}
