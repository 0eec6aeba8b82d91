package org.hickoryshed.kernel.http;

/**
 * Problem details as of RFC 9457.
 *
 * @param type The type of the problem as a relative URI.
 * @param title The summary of the type.
 * @param status The HTTP status code.
 * @param detail What is wrong with this request.
 * @param outcome The outcome of the request: {@code not-run} or {@code unknown}.
 */
public record Problem(String type, String title, int status, String detail, String outcome) {

  /** The outcome of a request that truly did not run. */
  public static final String NOT_RUN = "not-run";

  /** The outcome of a request that may have run. */
  public static final String UNKNOWN = "unknown";

  /**
   * Creates a problem of a request that did not run.
   *
   * @param type The type of the problem without prefix.
   * @param status The HTTP status code.
   * @param detail What is wrong with this request.
   * @return The problem.
   */
  public static Problem notRun(String type, int status, String detail) {
    return new Problem("/problems/" + type, type.replace('-', ' '), status, detail, NOT_RUN);
  }

  /**
   * Creates a problem of a request that may have run.
   *
   * @param type The type of the problem without prefix.
   * @param status The HTTP status code.
   * @param detail What is known about this request.
   * @return The problem.
   */
  public static Problem unknown(String type, int status, String detail) {
    return new Problem("/problems/" + type, type.replace('-', ' '), status, detail, UNKNOWN);
  }
}
