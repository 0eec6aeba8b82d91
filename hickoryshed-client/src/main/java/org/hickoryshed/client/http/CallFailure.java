package org.hickoryshed.client.http;

/**
 * The reason why an HTTP call gave no usable response. The type tells whether the request may have
 * run.
 */
public sealed interface CallFailure {

  /**
   * The connection could not be opened, so the request certainly did not run.
   *
   * @param detail What is known about the failure.
   */
  record NotSent(String detail) implements CallFailure {}

  /**
   * The request may have been sent and may have run, and no complete response arrived.
   *
   * @param detail What is known about the failure.
   */
  record NoAnswer(String detail) implements CallFailure {}

  /**
   * The service refused the request with an error status, without running it.
   *
   * @param status The HTTP status code.
   * @param detail What was refused.
   */
  record Refused(int status, String detail) implements CallFailure {}

  /**
   * The service responded with content that can't be read.
   *
   * @param detail What is wrong with the content.
   */
  record Malformed(String detail) implements CallFailure {}

  /**
   * The response of the service is longer than this client takes.
   *
   * @param limitBytes The longest body that is taken, in bytes.
   */
  record TooLong(long limitBytes) implements CallFailure {}
}
