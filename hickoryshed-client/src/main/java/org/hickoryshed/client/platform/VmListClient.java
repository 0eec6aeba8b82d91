package org.hickoryshed.client.platform;

import java.time.Duration;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.kernel.result.Result;

/** A client of the platform's VM list. */
public final class VmListClient {

  /** The caller. */
  private final JsonHttpClient caller;

  /** The address of the VM list. */
  private final String address;

  /**
   * Creates a new client.
   *
   * @param caller The caller.
   * @param address The address of the VM list as IP number and port.
   */
  public VmListClient(JsonHttpClient caller, String address) {
    this.caller = caller;
    this.address = address;
  }

  /**
   * Reads the list.
   *
   * @param timeout The longest time to wait.
   * @return The list or the failure.
   */
  public Result<VmList, CallFailure> read(Duration timeout) {
    return switch (caller.call("GET", address, "/v1/vms", null, timeout)) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) -> Result.failure(failure);
      case Result.Success<Response, CallFailure>(Response reply) when reply.status() == 200 ->
          reply.as(VmList.class);
      case Result.Success<Response, CallFailure>(Response reply) ->
          Result.failure(new CallFailure.Refused(reply.status(), "the VM list refused"));
    };
  }
}
