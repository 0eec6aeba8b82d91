package org.hickoryshed.kernel.process;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Ends a process that can't go on, so that the platform starts it again. */
public final class ProcessEnd {

  /** The exit status; others are those of refused settings and of signals. */
  public static final int EXIT_BROKEN = 70;

  /** Written without new memory. */
  private static final byte[] LINE =
      "{\"event\":\"process-broken\",\"text\":\"an error ended a duty; exit status 70\"}\n"
          .getBytes(StandardCharsets.US_ASCII);

  private static final FileOutputStream OUTPUT = new FileOutputStream(FileDescriptor.out);

  private ProcessEnd() {}

  /**
   * Ends this process whenever an error of the JVM ends one of its threads; other exceptions are
   * printed, as by default.
   */
  public static void installForErrors() {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, thrown) -> {
          if (thrown instanceof VirtualMachineError) {
            halt();
          }
          thrown.printStackTrace();
        });
  }

  /** Writes one line and ends this process at once; its ports are closed by that. */
  public static void halt() {
    try {
      OUTPUT.write(LINE);
    } catch (IOException exception) {
      // The process ends in any case, and nobody reads what it writes.
    } finally {
      Runtime.getRuntime().halt(EXIT_BROKEN);
    }
  }
}
