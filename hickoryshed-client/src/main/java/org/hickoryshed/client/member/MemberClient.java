package org.hickoryshed.client.member;

import java.time.Duration;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.result.Result;

/** A client of database members. */
public final class MemberClient {

  /** The caller. */
  private final JsonHttpClient caller;

  /**
   * Creates a new client.
   *
   * @param caller The caller.
   */
  public MemberClient(JsonHttpClient caller) {
    this.caller = caller;
  }

  /**
   * Asks a member for its status.
   *
   * @param address The address of the member.
   * @param timeout The longest time to wait.
   * @return The status or the reason why there is none.
   */
  public Result<MemberStatus, CallFailure> status(String address, Duration timeout) {
    return read(caller.call("GET", address, "/v1/status", null, timeout), MemberStatus.class);
  }

  /**
   * Opens a connection.
   *
   * @param address The address of the member.
   * @param timeout The longest time to wait.
   * @return The connection or the reason why there is none.
   */
  public Result<Opened, CallFailure> connect(String address, Duration timeout) {
    return read(caller.call("POST", address, "/v1/connections", null, timeout), Opened.class);
  }

  /**
   * Closes a connection, which rolls back what is open on it.
   *
   * @param address The address of the member.
   * @param connection The identifier of the connection.
   * @param timeout The longest time to wait.
   */
  public void close(String address, String connection, Duration timeout) {
    // The member also closes idle connections by itself, so that a lost close leaks nothing.
    caller.call("DELETE", address, "/v1/connections/" + connection, null, timeout);
  }

  /**
   * Sends a request on a connection.
   *
   * @param address The address of the member.
   * @param connection The identifier of the connection.
   * @param request The request.
   * @param timeout The longest time to wait.
   * @return The answer or the reason why there is none.
   */
  public Result<MemberAnswer, CallFailure> send(
      String address, String connection, MemberRequest request, Duration timeout) {
    String path = "/v1/connections/" + connection + "/requests";
    return switch (read(caller.call("POST", address, path, request, timeout), MemberAnswer.class)) {
      case Result.Success<MemberAnswer, CallFailure>(MemberAnswer answer)
          when answer.rows().size() != answer.rowCount() ->
          Result.failure(new CallFailure.NoAnswer("the answer is cut off"));
      case Result<MemberAnswer, CallFailure> result -> result;
    };
  }

  /**
   * Seals a member so that it refuses lower terms.
   *
   * @param address The address of the member.
   * @param term The term.
   * @param timeout The longest time to wait.
   * @return The status after the seal or the reason why it was not granted.
   */
  public Result<MemberStatus, CallFailure> seal(String address, long term, Duration timeout) {
    return order(address, "/v1/seal", new TermOrder(term, "", ""), timeout);
  }

  /**
   * Promotes a member to primary of a term that it granted.
   *
   * @param address The address of the member.
   * @param term The term.
   * @param timeout The longest time to wait.
   * @return The status after the promotion or the reason why it failed.
   */
  public Result<MemberStatus, CallFailure> promote(String address, long term, Duration timeout) {
    return order(address, "/v1/promote", new TermOrder(term, "", ""), timeout);
  }

  /**
   * Lets a member follow the primary of a term.
   *
   * @param address The address of the member.
   * @param order The term and the primary to follow.
   * @param timeout The longest time to wait.
   * @return The status after the order or the reason why it failed.
   */
  public Result<MemberStatus, CallFailure> follow(
      String address, TermOrder order, Duration timeout) {
    return order(address, "/v1/follow", order, timeout);
  }

  /**
   * Sends an order of a term.
   *
   * @param address The address of the member.
   * @param path The path of the order.
   * @param order The order.
   * @param timeout The longest time to wait.
   * @return The status after the order or the reason why it failed.
   */
  private Result<MemberStatus, CallFailure> order(
      String address, String path, TermOrder order, Duration timeout) {
    return read(caller.call("POST", address, path, order, timeout), MemberStatus.class);
  }

  /**
   * Reads a reply.
   *
   * @param reply The reply or the reason why there is none.
   * @param type The type of the value.
   * @param <T> The type of the value.
   * @return The value or the reason why there is none.
   */
  private static <T> Result<T, CallFailure> read(
      Result<Response, CallFailure> reply, Class<T> type) {
    return switch (reply) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) -> Result.failure(failure);
      case Result.Success<Response, CallFailure>(Response received)
          when received.status() / 100 == 2 ->
          received.as(type);
      case Result.Success<Response, CallFailure>(Response received) ->
          Result.failure(new CallFailure.Refused(received.status(), "status " + received.status()));
    };
  }

  /**
   * An opened connection.
   *
   * @param connection The identifier of the connection.
   */
  public record Opened(String connection) {}

  /**
   * An order of a term.
   *
   * @param term The term.
   * @param primary The name of the primary to follow, empty for other orders.
   * @param address The address of the primary to follow, empty for other orders.
   */
  public record TermOrder(long term, String primary, String address) {}
}
