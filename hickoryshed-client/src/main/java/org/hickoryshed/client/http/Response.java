package org.hickoryshed.client.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.http.HttpHeaders;
import java.util.function.Consumer;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.kernel.json.JsonLimits;
import org.hickoryshed.kernel.result.Result;

/**
 * A complete HTTP response of any status.
 *
 * @param status The HTTP status code.
 * @param body The body, empty if there is none.
 * @param headers The headers.
 */
public record Response(int status, byte[] body, HttpHeaders headers) {

  /**
   * Reads the body as JSON.
   *
   * @param type The type of the value.
   * @param <T> The type of the value.
   * @return The value, or {@link CallFailure.Malformed} if the body is not JSON of this type.
   */
  public <T> Result<T, CallFailure> as(Class<T> type) {
    return withCallFailure(Json.read(body, type));
  }

  /**
   * Reads the body as a JSON object that several writers contributed to; see {@link
   * Json#readTolerantly}.
   *
   * @param limits The limits of the values.
   * @param array The name of an array in the object.
   * @param receiver Receives the elements of the array one by one, also if this method fails.
   * @return The object without the array, or {@link CallFailure.Malformed} if the body as a whole
   *     is not a JSON object.
   */
  public Result<JsonNode, CallFailure> readTolerantly(
      JsonLimits limits, String array, Consumer<JsonNode> receiver) {
    return withCallFailure(Json.readTolerantly(body, limits, array, receiver));
  }

  private static <T> Result<T, CallFailure> withCallFailure(Result<T, Json.Malformed> read) {
    return switch (read) {
      case Result.Success<T, Json.Malformed>(T value) -> Result.success(value);
      case Result.Failed<T, Json.Malformed>(Json.Malformed malformed) ->
          Result.failure(new CallFailure.Malformed(malformed.detail()));
    };
  }
}
