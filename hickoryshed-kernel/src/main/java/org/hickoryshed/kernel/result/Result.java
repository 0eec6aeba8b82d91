package org.hickoryshed.kernel.result;

import java.util.Optional;
import java.util.function.Function;

/**
 * The result of an operation that either succeeds with a value or fails with a typed failure. It
 * replaces exceptions for failures that the code has to handle.
 *
 * @param <T> The type of the value of a success.
 * @param <F> The type of the failure.
 */
public sealed interface Result<T, F> {

  /**
   * Creates a successful result.
   *
   * @param value The value of the result.
   * @param <T> The type of the value.
   * @param <F> The type of the failure.
   * @return A successful result.
   */
  static <T, F> Result<T, F> success(T value) {
    return new Success<>(value);
  }

  /**
   * Creates a failed result.
   *
   * @param failure The failure.
   * @param <T> The type of the value.
   * @param <F> The type of the failure.
   * @return A failed result.
   */
  static <T, F> Result<T, F> failure(F failure) {
    return new Failed<>(failure);
  }

  /**
   * Applies a function to the value of a success. A failed result keeps its failure.
   *
   * @param function The function to apply.
   * @param <S> The type of the returned value.
   * @return The result with the returned value, or the same failure.
   */
  default <S> Result<S, F> map(Function<? super T, ? extends S> function) {
    return switch (this) {
      case Success<T, F>(T value) -> new Success<>(function.apply(value));
      case Failed<T, F>(F failure) -> new Failed<>(failure);
    };
  }

  /**
   * Returns the value of a success and drops the reason of a failure.
   *
   * @return The value or an empty optional for a failed result.
   */
  default Optional<T> value() {
    return switch (this) {
      case Success<T, F>(T value) -> Optional.of(value);
      case Failed<T, F> ignored -> Optional.empty();
    };
  }

  /**
   * A successful result.
   *
   * @param result The value of this result.
   * @param <T> The type of the value.
   * @param <F> The type of the failure.
   */
  record Success<T, F>(T result) implements Result<T, F> {}

  /**
   * A failed result.
   *
   * @param failure The failure.
   * @param <T> The type of the value.
   * @param <F> The type of the failure.
   */
  record Failed<T, F>(F failure) implements Result<T, F> {}
}
