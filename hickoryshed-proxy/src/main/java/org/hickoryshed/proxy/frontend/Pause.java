package org.hickoryshed.proxy.frontend;

/** Pauses the threads that run requests. */
final class Pause {

  private Pause() {}

  /**
   * Pauses the current thread. An interrupt ends the pause and is kept for the caller of this
   * method.
   */
  static void millis(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
