package org.hickoryshed.failover;

import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.service.Kernel;

/** The binary {@code hickoryshed-failover}. */
public final class FailoverMain {

  /** This class is not instantiated. */
  private FailoverMain() {}

  /**
   * Runs a failover process.
   *
   * @param arguments The arguments of the command line.
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
