package org.hickoryshed.proxy.frontend;

/** Pauses of the threads that carry requests. */
final class Pause {

  /** This class is not instantiated. */
  private Pause() {}

  /**
   * Pauses the current thread.
   *
   * @param milliseconds The duration in milliseconds.
   */
  static void millis(long milliseconds) {
    try {
      Thread.sleep(milliseconds);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
