package org.hickoryshed.client.platform;

import java.time.Duration;
import java.util.Optional;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.kernel.result.Result;

/** A client of the platform's object store. */
public final class StoreClient {

  /** The name of the object that holds the configuration. */
  public static final String CONFIGURATION = "configuration";

  /** The time that a watch waits beyond the wait that it asks for. */
  private static final Duration WATCH_MARGIN = Duration.ofSeconds(2);

  /** The caller. */
  private final JsonHttpClient caller;

  /** The address of the store. */
  private final String address;

  /**
   * Creates a new client.
   *
   * @param caller The caller.
   * @param address The address of the store as IP number and port.
   */
  public StoreClient(JsonHttpClient caller, String address) {
    this.caller = caller;
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
    return toObject(caller.call("GET", address, path(name), null, timeout), type);
  }

  /**
   * Waits until an object has another version.
   *
   * @param name The name of the object.
   * @param version The version that is known.
   * @param wait The longest time to wait for a change.
   * @param type The type of the value.
   * @param <T> The type of the value.
   * @return The object, an empty optional if it did not change, or the failure.
   */
  public <T> Result<Optional<Versioned<T>>, CallFailure> watch(
      String name, long version, Duration wait, Class<T> type) {
    String path = path(name) + "?known=" + version + "&wait=" + wait.toMillis();
    return toObject(caller.call("GET", address, path, null, wait.plus(WATCH_MARGIN)), type);
  }

  /**
   * Writes an object if its version is the expected one.
   *
   * @param name The name of the object.
   * @param expected The expected version, zero for an object that does not exist.
   * @param value The value to write.
   * @param timeout The longest time to wait.
   * @return {@code true} if the object was written, {@code false} on a conflict, or the failure.
   */
  public Result<Boolean, CallFailure> write(
      String name, long expected, Object value, Duration timeout) {
    String version = String.valueOf(expected);
    return switch (caller.call("PUT", address, path(name), value, timeout, "If-Match", version)) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) -> Result.failure(failure);
      case Result.Success<Response, CallFailure>(Response reply) ->
          switch (reply.status()) {
            case 200 -> Result.success(true);
            case 412 -> Result.success(false);
            case 503 -> Result.failure(new CallFailure.NoAnswer("the store is down"));
            default -> Result.failure(new CallFailure.Refused(reply.status(), "not written"));
          };
    };
  }

  /**
   * Reads a reply.
   *
   * @param reply The reply or the failure.
   * @param type The type of the value.
   * @param <T> The type of the value.
   * @return The object, an empty optional if there is none, or the failure.
   */
  private static <T> Result<Optional<Versioned<T>>, CallFailure> toObject(
      Result<Response, CallFailure> reply, Class<T> type) {
    return switch (reply) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) -> Result.failure(failure);
      case Result.Success<Response, CallFailure>(Response received) ->
          switch (received.status()) {
            case 200 -> {
              long version = received.headers().firstValueAsLong("Version").orElse(0);
              yield received.as(type).map(value -> Optional.of(new Versioned<>(version, value)));
            }
            case 304, 404 -> Result.success(Optional.empty());
            default ->
                Result.failure(new CallFailure.Refused(received.status(), "the store refused"));
          };
    };
  }

  /**
   * Returns the path of an object.
   *
   * @param name The name of the object.
   * @return The path.
   */
  private static String path(String name) {
    return "/v1/entries/" + name;
  }

  /**
   * An object with its version.
   *
   * @param version The version.
   * @param value The value.
   * @param <T> The type of the value.
   */
  public record Versioned<T>(long version, T value) {}
}
