package org.hickoryshed.session.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.wire.MemberMessage;

/**
 * A statement that was sent to a member, with the part of its response that has arrived.
 *
 * <p>A response consists of rows, an outcome and a ready message that completes it.
 */
final class MemberExchange {

  /** What a row takes up beside its characters. */
  private static final int ROW_OVERHEAD_BYTES = 56;

  private final ClockReading sentAt;
  private final Consumer<MemberResponse> receiver;
  private final boolean mustSucceed;
  private final List<String> rows = new ArrayList<>(1);
  private long rowBytes;

  /** The outcome, {@code null} until it arrives. */
  private MemberMessage outcome;

  /**
   * Creates a new exchange.
   *
   * @param sentAt When the statement was sent.
   * @param receiver Receives the response once, when it is complete or the connection ends.
   * @param mustSucceed True if the connection is unusable after the statement failed.
   */
  MemberExchange(ClockReading sentAt, Consumer<MemberResponse> receiver, boolean mustSucceed) {
    this.sentAt = sentAt;
    this.receiver = receiver;
    this.mustSucceed = mustSucceed;
  }

  void addRow(String data) {
    rows.add(data);
    rowBytes += ROW_OVERHEAD_BYTES + data.length();
  }

  /**
   * Delivers the complete response.
   *
   * @param state The transaction state of the member's session.
   * @param position The member's log position, if it sent one.
   */
  void deliver(TransactionState state, Optional<LogPosition> position) {
    receiver.accept(
        switch (outcome) {
          case MemberMessage.Done done ->
              new MemberResponse.Done(rows, done.proof(), state, position, sentAt);
          case MemberMessage.Failure failure ->
              new MemberResponse.Failed(failure.kind(), failure.text(), state);
          default -> throw new IllegalStateException("response without an outcome");
        });
  }

  /**
   * Delivers what is known when the connection ends: an outcome that has arrived stands, any
   * transaction counts as failed.
   *
   * @param reason Why the connection ended.
   */
  void deliverOnClose(String reason) {
    if (outcome instanceof MemberMessage.Done done) {
      receiver.accept(
          new MemberResponse.Done(
              rows, done.proof(), TransactionState.FAILED, Optional.empty(), sentAt));
    } else if (outcome instanceof MemberMessage.Failure failure) {
      receiver.accept(
          new MemberResponse.Failed(failure.kind(), failure.text(), TransactionState.FAILED));
    } else {
      receiver.accept(new MemberResponse.Lost(reason));
    }
  }

  ClockReading sentAt() {
    return sentAt;
  }

  /** Checks if the statement failed and left the connection unusable. */
  boolean invalidatesConnection() {
    return mustSucceed && outcome instanceof MemberMessage.Failure;
  }

  /** Checks if the outcome has arrived, so that only the ready message is missing. */
  boolean hasOutcome() {
    return outcome != null;
  }

  void setOutcome(MemberMessage received) {
    outcome = received;
  }

  /** Returns the memory that the rows which have arrived take up, in bytes. */
  long rowBytes() {
    return rowBytes;
  }
}
