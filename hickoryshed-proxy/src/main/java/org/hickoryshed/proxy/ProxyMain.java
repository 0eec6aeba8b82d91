package org.hickoryshed.proxy;

import java.time.Duration;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.service.Kernel;

/** The main class of the program {@code hickoryshed-proxy}. */
public final class ProxyMain {

  private ProxyMain() {}

  /**
   * Runs a proxy until the process is asked to stop, then drains it.
   *
   * @param arguments The command-line arguments.
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
