package org.hickoryshed.client.platform;

import java.time.Duration;
import java.util.Optional;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.kernel.result.Result;

/** Reads, watches and conditionally writes versioned objects in the platform's store. */
public final class StoreClient {

  /** The name of the object that holds the configuration. */
  public static final String CONFIGURATION = "configuration";

  /**
   * The time that a watch waits for the response beyond the time that it asks the store to wait.
   */
  private static final Duration WATCH_MARGIN = Duration.ofSeconds(2);

  private final JsonHttpClient http;

  private final String address;

  /**
   * Creates a client.
   *
   * @param http The HTTP client.
   * @param address The address of the store as IP address and port.
   */
  public StoreClient(JsonHttpClient http, String address) {
    this.http = http;
    this.address = address;
  }

  /**
   * Reads an object.
   *
   * @param name The name of the object.
   * @param type The type of the value.
   * @param timeout The longest time to wait.
   * @param <T> The type of the value.
   * @return The object, an empty optional if it does not exist, or the failure.
   */
  public <T> Result<Optional<Versioned<T>>, CallFailure> read(
      String name, Class<T> type, Duration timeout) {
    return readObject(http.call("GET", address, path(name), null, timeout), type);
  }

  /**
   * Blocks until the version of an object differs from a known version, at most for a given time.
   *
   * @param name The name of the object.
   * @param version The known version.
   * @param wait The longest time to wait for a change.
   * @param type The type of the value.
   * @param <T> The type of the value.
   * @return The changed object, an empty optional if it did not change or does not exist, or the
   *     failure.
   */
  public <T> Result<Optional<Versioned<T>>, CallFailure> watch(
      String name, long version, Duration wait, Class<T> type) {
    String path = path(name) + "?known=" + version + "&wait=" + wait.toMillis();
    return readObject(http.call("GET", address, path, null, wait.plus(WATCH_MARGIN)), type);
  }

  /**
   * Writes an object if its version is still the expected one. After {@link CallFailure.NoAnswer}
   * the object may have been written.
   *
   * @param name The name of the object.
   * @param expected The expected version, zero for an object that does not exist.
   * @param value The value to write as JSON.
   * @param timeout The longest time to wait.
   * @return {@code true} if the object was written, {@code false} if it has another version, or the
   *     failure.
   */
  public Result<Boolean, CallFailure> write(
      String name, long expected, Object value, Duration timeout) {
    String version = String.valueOf(expected);
    return switch (http.call("PUT", address, path(name), value, timeout, "If-Match", version)) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) -> Result.failure(failure);
      case Result.Success<Response, CallFailure>(Response response) ->
          switch (response.status()) {
            case 200 -> Result.success(true);
            case 412 -> Result.success(false);
            case 503 -> Result.failure(new CallFailure.NoAnswer("the store is unavailable"));
            default ->
                Result.failure(
                    new CallFailure.Refused(response.status(), "the object was not written"));
          };
    };
  }

  private static <T> Result<Optional<Versioned<T>>, CallFailure> readObject(
      Result<Response, CallFailure> response, Class<T> type) {
    return switch (response) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) -> Result.failure(failure);
      case Result.Success<Response, CallFailure>(Response received) ->
          switch (received.status()) {
            case 200 -> {
              long version = received.headers().firstValueAsLong("Version").orElse(0);
              yield received.as(type).map(value -> Optional.of(new Versioned<>(version, value)));
            }
            case 304, 404 -> Result.success(Optional.empty());
            default ->
                Result.failure(
                    new CallFailure.Refused(received.status(), "the object was not read"));
          };
    };
  }

  private static String path(String name) {
    return "/v1/entries/" + name;
  }

  /**
   * An object with its version.
   *
   * @param version The version, zero if the store named none.
   * @param value The value.
   * @param <T> The type of the value.
   */
  public record Versioned<T>(long version, T value) {}
}
