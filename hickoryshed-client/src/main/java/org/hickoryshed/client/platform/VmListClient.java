package org.hickoryshed.client.platform;

import java.time.Duration;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.kernel.result.Result;

/** Reads the platform's list of VMs. */
public final class VmListClient {

  private final JsonHttpClient http;

  private final String address;

  /**
   * Creates a client.
   *
   * @param http The HTTP client.
   * @param address The address of the VM list as IP address and port.
   */
  public VmListClient(JsonHttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  /**
   * Reads the current list.
   *
   * @param timeout The longest time to wait.
   * @return The list or the reason why it could not be read.
   */
  public Result<VmList, CallFailure> read(Duration timeout) {
    return switch (http.call("GET", address, "/v1/vms", null, timeout)) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) -> Result.failure(failure);
      case Result.Success<Response, CallFailure>(Response response) when response.status() == 200 ->
          response.as(VmList.class);
      case Result.Success<Response, CallFailure>(Response response) ->
          Result.failure(new CallFailure.Refused(response.status(), "the VM list was not served"));
    };
  }
}
