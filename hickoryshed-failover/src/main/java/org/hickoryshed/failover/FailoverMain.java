package org.hickoryshed.failover;

import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.service.Kernel;

/** The entry point of the binary {@code hickoryshed-failover}. */
public final class FailoverMain {

  private FailoverMain() {}

  /**
   * Runs a failover process until it is stopped by a signal.
   *
   * @param arguments The command-line arguments.
   */
  public static void main(String[] arguments) {
    Daemon.run(
        "hickoryshed-failover",
        arguments,
        reader -> {
          FailoverSettings settings = FailoverSettings.read(reader);
          return () -> {
            Kernel kernel = new Kernel();
            FailoverService.assemble(kernel, settings);
            Daemon.start(kernel, () -> {});
          };
        });
  }
}
