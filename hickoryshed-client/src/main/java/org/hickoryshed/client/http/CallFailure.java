package org.hickoryshed.client.http;

/** A failure of an HTTP call. */
public sealed interface CallFailure {

  /**
   * The request was not sent.
   *
   * @param detail What is known about the failure.
   */
  record NotSent(String detail) implements CallFailure {}

  /**
   * The request was sent or may have been sent, and no complete answer came.
   *
   * @param detail What is known about the failure.
   */
  record NoAnswer(String detail) implements CallFailure {}

  /**
   * The service refused the request without running it.
   *
   * @param status The HTTP status code.
   * @param detail The reason that the service gave.
   */
  record Refused(int status, String detail) implements CallFailure {}

  /**
   * The service answered with malformed content.
   *
   * @param detail What is wrong with the content.
   */
  record Malformed(String detail) implements CallFailure {}
}
