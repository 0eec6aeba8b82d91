package org.hickoryshed.proxy.pooler;

import java.time.Duration;
import java.util.Optional;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.member.MemberAnswer;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.client.member.MemberRequest;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.pool.WorkOutcome;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;

/**
 * Sends requests to a member and derives their outcomes from its responses.
 *
 * @param member The member to which all requests go.
 * @param client The client that sends them.
 */
record RequestSender(Member member, MemberClient client) {

  /**
   * Sends a request on a connection and blocks until the result is known.
   *
   * @param connection The member's identifier of the connection.
   * @param timeout The longest time to wait for the response.
   */
  SendResult send(String connection, Message.Execute request, Duration timeout) {
    MemberRequest memberRequest =
        new MemberRequest(
            action(request), request.kind() != Work.Kind.READ, request.statement(), request.key());
    return switch (client.send(member.address(), connection, memberRequest, timeout)) {
      case Result.Success<MemberAnswer, CallFailure>(MemberAnswer response) -> toResult(response);
      case Result.Failed<MemberAnswer, CallFailure>(CallFailure failure) -> toFailedResult(failure);
    };
  }

  /**
   * Returns the member's action for a request. A write without a statement cancels its idempotency
   * key.
   */
  private static MemberRequest.Action action(Message.Execute request) {
    return switch (request.kind()) {
      case READ -> MemberRequest.Action.RUN;
      case WRITE ->
          request.statement().isPresent() ? MemberRequest.Action.RUN : MemberRequest.Action.CANCEL;
      case BEGIN -> MemberRequest.Action.BEGIN;
      case STEP -> MemberRequest.Action.STEP;
      case END -> request.commit() ? MemberRequest.Action.COMMIT : MemberRequest.Action.ROLLBACK;
    };
  }

  /**
   * Derives the result from a response. A recorded cancellation is a completed outcome here,
   * because it has to be confirmed by a majority like a write.
   */
  private SendResult toResult(MemberAnswer response) {
    if (response.refusal().isEmpty() || response.refusal().get() == Reason.CANCELLED) {
      Outcome outcome =
          new Outcome.Done(
              response.rows(), response.position(), member.name(), !response.status().isPrimary());
      return new SendResult(WorkOutcome.ANSWERED, outcome, Optional.of(response));
    }
    Reason reason = response.refusal().get();
    WorkOutcome workOutcome =
        switch (reason) {
          case REJECTED -> WorkOutcome.ANSWERED;
          case NO_CONNECTION -> WorkOutcome.LOST;
          default -> WorkOutcome.REFUSED;
        };
    return new SendResult(
        workOutcome,
        new Outcome.NotRun(reason, "refused by " + member.name()),
        Optional.of(response));
  }

  /**
   * Derives the result from a failed call. The outcome is unknown if the request may have reached
   * the member.
   */
  private SendResult toFailedResult(CallFailure failure) {
    Outcome outcome =
        switch (failure) {
          case CallFailure.NotSent(String detail) -> new Outcome.NotRun(Reason.UNREACHABLE, detail);
          case CallFailure.Refused(int status, String detail) ->
              new Outcome.NotRun(Reason.UNREACHABLE, detail);
          case CallFailure.NoAnswer(String detail) ->
              new Outcome.Unknown(Reason.ANSWER_LOST, detail);
          case CallFailure.Malformed(String detail) ->
              new Outcome.Unknown(Reason.ANSWER_LOST, detail);
          case CallFailure.TooLong(long limitBytes) ->
              new Outcome.Unknown(Reason.ANSWER_LOST, "longer than " + limitBytes + " bytes");
        };
    return new SendResult(WorkOutcome.LOST, outcome, Optional.empty());
  }
}
