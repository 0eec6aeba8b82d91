package org.hickoryshed.proxy;

import java.time.Duration;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.service.Kernel;

/** The binary {@code hickoryshed-proxy}. */
public final class ProxyMain {

  /** This class is not instantiated. */
  private ProxyMain() {}

  /**
   * Runs a proxy.
   *
   * @param arguments The arguments of the command line.
   */
  public static void main(String[] arguments) {
    Daemon.run(
        "hickoryshed-proxy",
        arguments,
        reader -> {
          ProxySettings settings = ProxySettings.read(reader);
          return () -> {
            Kernel kernel = new Kernel();
            Proxy proxy = Proxy.assemble(kernel, settings);
            Daemon.start(kernel, () -> proxy.drain(Duration.ofMillis(50)));
          };
        });
  }
}
