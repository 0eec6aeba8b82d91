package org.hickoryshed.session.caller;

/** The texts of failures that tell callers what they can do. */
final class FailureTexts {

  /** Of a statement that did not run before its timeout. */
  static final String RETRY_LATER = "not run; try again in 100 ms";

  /** Of a statement that another proxy may be able to run. */
  static final String TRY_OTHER_PROXY = "not run; cut off from the primary; try another proxy";

  /** Of a statement that this process does not execute any more. */
  static final String PROCESS_STOPS = "not run; this proxy stops; try another one now";

  /** Of a statement that was sent, but whose response this process can't await any more. */
  static final String STOPPED = "this proxy stopped before the response";

  /** Of a statement of a transaction whose primary is about to be replaced. */
  static final String PRIMARY_LEAVES = "the primary is being replaced";

  /** Of a write that a primary committed after it may have been replaced. */
  static final String PRIMARY_REPLACED = "the primary was being replaced when it committed";

  /** Of a session whose key was withdrawn or moved to another workspace. */
  static final String KEY_WITHDRAWN = "the key no longer identifies the workspace";

  /**
   * Returns the text for an operation beyond the quota of its workspace.
   *
   * @param retryAfterMillis The time in milliseconds after which it may be tried again.
   */
  static String overQuota(long retryAfterMillis) {
    return "not run; over the quota of the workspace; try again in " + retryAfterMillis + " ms";
  }

  private FailureTexts() {}
}
