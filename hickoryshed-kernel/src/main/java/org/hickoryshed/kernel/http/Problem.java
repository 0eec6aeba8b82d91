package org.hickoryshed.kernel.http;

/**
 * Problem details as of RFC 9457, the body of each response that reports an error. The outcome
 * tells a caller whether it may repeat the request.
 *
 * @param type The type of the problem as a relative URI below {@code /problems/}.
 * @param title The type in words.
 * @param status The HTTP status code.
 * @param detail What is wrong with this request.
 * @param outcome The outcome of the request: {@code not-run} or {@code unknown}.
 */
public record Problem(String type, String title, int status, String detail, String outcome) {

  /** The outcome of a request that certainly did not run and may be repeated. */
  public static final String NOT_RUN = "not-run";

  /** The outcome of a request that may have run. */
  public static final String UNKNOWN = "unknown";

  /**
   * Creates the problem of a request that certainly did not run.
   *
   * @param type The type of the problem without prefix, in words joined by hyphens.
   * @param status The HTTP status code.
   * @param detail What is wrong with this request.
   * @return The problem.
   */
  public static Problem notRun(String type, int status, String detail) {
    return new Problem("/problems/" + type, type.replace('-', ' '), status, detail, NOT_RUN);
  }

  /**
   * Creates the problem of a request that may have run.
   *
   * @param type The type of the problem without prefix, in words joined by hyphens.
   * @param status The HTTP status code.
   * @param detail What is known about this request.
   * @return The problem.
   */
  public static Problem unknown(String type, int status, String detail) {
    return new Problem("/problems/" + type, type.replace('-', ' '), status, detail, UNKNOWN);
  }
}
