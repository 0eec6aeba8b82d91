package org.hickoryshed.client.member;

import java.time.Duration;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.result.Result;

/**
 * Calls database members over HTTP: their status, connections and the steps of a failover.
 *
 * <p>Each method blocks until the member responded or the timeout passed. A status other than 2xx
 * is {@link CallFailure.Refused}.
 */
public final class MemberClient {

  private final JsonHttpClient http;

  /**
   * Creates a client.
   *
   * @param http The HTTP client.
   */
  public MemberClient(JsonHttpClient http) {
    this.http = http;
  }

  /**
   * Reads the status of a member.
   *
   * @param address The address of the member as IP address and port.
   * @param timeout The longest time to wait.
   * @return The status or the reason why there is none.
   */
  public Result<MemberStatus, CallFailure> status(String address, Duration timeout) {
    return read(http.call("GET", address, "/v1/status", null, timeout), MemberStatus.class);
  }

  /**
   * Opens a connection.
   *
   * @param address The address of the member as IP address and port.
   * @param timeout The longest time to wait.
   * @return The connection or the reason why none was opened.
   */
  public Result<Opened, CallFailure> connect(String address, Duration timeout) {
    return read(http.call("POST", address, "/v1/connections", null, timeout), Opened.class);
  }

  /**
   * Closes a connection, which rolls back its open transaction. A failure is ignored.
   *
   * @param address The address of the member as IP address and port.
   * @param connection The identifier of the connection.
   * @param timeout The longest time to wait.
   */
  public void close(String address, String connection, Duration timeout) {
    // The member also closes idle connections by itself, so a lost request leaks no connection.
    http.call("DELETE", address, "/v1/connections/" + connection, null, timeout);
  }

  /**
   * Sends a request on a connection.
   *
   * @param address The address of the member as IP address and port.
   * @param connection The identifier of the connection.
   * @param request The request.
   * @param timeout The longest time to wait.
   * @return The response, or the reason why there is none. A response that lacks rows is {@link
   *     CallFailure.NoAnswer}.
   */
  public Result<MemberAnswer, CallFailure> send(
      String address, String connection, MemberRequest request, Duration timeout) {
    String path = "/v1/connections/" + connection + "/requests";
    return switch (read(http.call("POST", address, path, request, timeout), MemberAnswer.class)) {
      case Result.Success<MemberAnswer, CallFailure>(MemberAnswer answer)
          when answer.rows().size() != answer.rowCount() ->
          Result.failure(
              new CallFailure.NoAnswer("the number of rows differs from the announced one"));
      case Result<MemberAnswer, CallFailure> result -> result;
    };
  }

  /**
   * Raises the term of a member, so that it refuses requests of lower terms. A failover seals the
   * members before it promotes one.
   *
   * @param address The address of the member as IP address and port.
   * @param term The new term.
   * @param timeout The longest time to wait.
   * @return The status after the seal or the reason why it was not granted.
   */
  public Result<MemberStatus, CallFailure> seal(String address, long term, Duration timeout) {
    return sendOrder(address, "/v1/seal", new TermOrder(term, "", ""), timeout);
  }

  /**
   * Promotes a member to primary of a term for which it was sealed.
   *
   * @param address The address of the member as IP address and port.
   * @param term The term.
   * @param timeout The longest time to wait.
   * @return The status after the promotion or the reason why it failed.
   */
  public Result<MemberStatus, CallFailure> promote(String address, long term, Duration timeout) {
    return sendOrder(address, "/v1/promote", new TermOrder(term, "", ""), timeout);
  }

  /**
   * Makes a member replicate from the primary of a term.
   *
   * @param address The address of the member as IP address and port.
   * @param order The term and the primary to follow.
   * @param timeout The longest time to wait.
   * @return The status after the order or the reason why it failed.
   */
  public Result<MemberStatus, CallFailure> follow(
      String address, TermOrder order, Duration timeout) {
    return sendOrder(address, "/v1/follow", order, timeout);
  }

  private Result<MemberStatus, CallFailure> sendOrder(
      String address, String path, TermOrder order, Duration timeout) {
    return read(http.call("POST", address, path, order, timeout), MemberStatus.class);
  }

  private static <T> Result<T, CallFailure> read(
      Result<Response, CallFailure> response, Class<T> type) {
    return switch (response) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) -> Result.failure(failure);
      case Result.Success<Response, CallFailure>(Response received)
          when received.status() / 100 == 2 ->
          received.as(type);
      case Result.Success<Response, CallFailure>(Response received) ->
          Result.failure(new CallFailure.Refused(received.status(), "status " + received.status()));
    };
  }

  /**
   * The response to a request for a connection.
   *
   * @param connection The identifier of the connection.
   */
  public record Opened(String connection) {}

  /**
   * An instruction of a failover that is valid for one term: seal, promote or follow.
   *
   * @param term The term.
   * @param primary The name of the primary to follow, empty for the other instructions.
   * @param address The address of the primary to follow, empty for the other instructions.
   */
  public record TermOrder(long term, String primary, String address) {}
}
