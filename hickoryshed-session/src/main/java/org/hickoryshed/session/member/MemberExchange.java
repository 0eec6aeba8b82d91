package org.hickoryshed.session.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.wire.MemberMessage;

/** A statement that was sent and its answer as far as it has arrived. */
final class MemberExchange {

  /** The moment at which the statement was sent. */
  private final ClockReading asked;

  /** The receiver of the answer. */
  private final Consumer<MemberResponse> receiver;

  /** True if the connection is useless when the statement fails. */
  private final boolean mustSucceed;

  /** The rows that have arrived. */
  private final List<String> rows = new ArrayList<>(1);

  /** The number of bytes of these rows. */
  private long rowBytes;

  /** The outcome, or {@code null} while it has not arrived. */
  private MemberMessage end;

  /**
   * Creates a new exchange.
   *
   * @param asked The moment at which the statement was sent.
   * @param receiver The receiver of the answer.
   * @param mustSucceed True if the connection is useless when the statement fails.
   */
  MemberExchange(ClockReading asked, Consumer<MemberResponse> receiver, boolean mustSucceed) {
    this.asked = asked;
    this.receiver = receiver;
    this.mustSucceed = mustSucceed;
  }

  /**
   * Adds a row.
   *
   * @param data The data of the row.
   */
  void addRow(String data) {
    rows.add(data);
    rowBytes += data.length();
  }

  /**
   * Delivers the complete answer.
   *
   * @param state The state of the session at the member.
   * @param position The position of the member's log, if it stated one.
   */
  void deliver(TransactionState state, Optional<LogPosition> position) {
    receiver.accept(
        switch (end) {
          case MemberMessage.Done done ->
              new MemberResponse.Done(rows, done.proof(), state, position, asked);
          case MemberMessage.Failure failure ->
              new MemberResponse.Failed(failure.kind(), failure.text(), state);
          default -> throw new IllegalStateException("an answer without an outcome");
        });
  }

  /**
   * Delivers what is known when the connection ends.
   *
   * @param reason What happened to the connection.
   */
  void deliverOnClose(String reason) {
    if (end instanceof MemberMessage.Done done) {
      receiver.accept(
          new MemberResponse.Done(
              rows, done.proof(), TransactionState.FAILED, Optional.empty(), asked));
    } else if (end instanceof MemberMessage.Failure failure) {
      receiver.accept(
          new MemberResponse.Failed(failure.kind(), failure.text(), TransactionState.FAILED));
    } else {
      receiver.accept(new MemberResponse.Lost(reason));
    }
  }

  /**
   * Returns the moment at which the statement was sent.
   *
   * @return The moment.
   */
  ClockReading asked() {
    return asked;
  }

  /**
   * Checks if the connection is useless now.
   *
   * @return {@code true} if the statement had to succeed and failed.
   */
  boolean hasFailedBadly() {
    return mustSucceed && end instanceof MemberMessage.Failure;
  }

  /**
   * Checks if the outcome has arrived.
   *
   * @return {@code true} if only the readiness of the member is missing.
   */
  boolean hasEnded() {
    return end != null;
  }

  /**
   * Takes the outcome.
   *
   * @param outcome The outcome.
   */
  void end(MemberMessage outcome) {
    end = outcome;
  }

  /**
   * Returns the size of the rows that have arrived.
   *
   * @return The size in bytes.
   */
  long rowBytes() {
    return rowBytes;
  }
}
