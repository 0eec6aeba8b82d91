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
 * Sends requests to a member and classifies what comes back.
 *
 * @param member The member.
 * @param client The client of the member.
 */
record RequestSender(Member member, MemberClient client) {

  /**
   * Sends a request on a connection.
   *
   * @param connection The identifier of the connection at the member.
   * @param request The request.
   * @param timeout The longest time to wait.
   * @return What came back.
   */
  SendResult send(String connection, Message.Execute request, Duration timeout) {
    MemberRequest memberRequest =
        new MemberRequest(
            action(request), request.kind() != Work.Kind.READ, request.statement(), request.key());
    return switch (client.send(member.address(), connection, memberRequest, timeout)) {
      case Result.Success<MemberAnswer, CallFailure>(MemberAnswer answer) -> answered(answer);
      case Result.Failed<MemberAnswer, CallFailure>(CallFailure failure) -> failed(failure);
    };
  }

  /**
   * Returns the action of a request.
   *
   * @param request The request.
   * @return The action.
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
   * Classifies an answer.
   *
   * @param answer The answer.
   * @return The classified answer.
   */
  private SendResult answered(MemberAnswer answer) {
    if (answer.refusal().isEmpty() || answer.refusal().get() == Reason.CANCELLED) {
      Outcome outcome =
          new Outcome.Done(
              answer.rows(), answer.position(), member.name(), !answer.status().isPrimary());
      return new SendResult(WorkOutcome.ANSWERED, outcome, Optional.of(answer));
    }
    Reason reason = answer.refusal().get();
    WorkOutcome end =
        switch (reason) {
          case REJECTED -> WorkOutcome.ANSWERED;
          case NO_CONNECTION -> WorkOutcome.LOST;
          default -> WorkOutcome.REFUSED;
        };
    return new SendResult(
        end, new Outcome.NotRun(reason, "refused by " + member.name()), Optional.of(answer));
  }

  /**
   * Classifies a failure.
   *
   * @param failure The failure.
   * @return The classified failure.
   */
  private SendResult failed(CallFailure failure) {
    Outcome outcome =
        switch (failure) {
          case CallFailure.NotSent(String detail) -> new Outcome.NotRun(Reason.UNREACHABLE, detail);
          case CallFailure.Refused(int status, String detail) ->
              new Outcome.NotRun(Reason.UNREACHABLE, detail);
          case CallFailure.NoAnswer(String detail) ->
              new Outcome.Unknown(Reason.ANSWER_LOST, detail);
          case CallFailure.Malformed(String detail) ->
              new Outcome.Unknown(Reason.ANSWER_LOST, detail);
        };
    return new SendResult(WorkOutcome.LOST, outcome, Optional.empty());
  }
}
