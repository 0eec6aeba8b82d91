package org.hickoryshed.kernel.command;

import java.nio.file.Path;
import java.time.InstantSource;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.service.Kernel;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * Runs a daemon: parses its command line, reads and checks its settings, starts its services and
 * stops them gracefully when the process is asked to terminate.
 */
public final class Daemon {

  /** The exit code of a process whose command line or settings are wrong. */
  public static final int EXIT_USAGE = 2;

  @Option(name = "--settings", metaVar = "FILE", usage = "the TOML file with the settings")
  private String settingsFile = "";

  @Option(name = "--check-settings", usage = "check the settings and exit")
  private boolean checkOnly;

  @Option(name = "--help", help = true, usage = "print this page and exit")
  private boolean help;

  /**
   * Runs a daemon until it is terminated. Wrong arguments or settings are printed and end the
   * process with {@link #EXIT_USAGE}; {@code --check-settings} ends it once the settings are
   * checked.
   *
   * @param name The name of the binary.
   * @param arguments The arguments of the command line.
   * @param assembly Reads the settings, creates the services and returns the action that starts
   *     them and blocks. The action runs only if the settings have no problems.
   */
  public static void run(
      String name, String[] arguments, Function<SettingsReader, Runnable> assembly) {
    Daemon daemon = new Daemon();
    CmdLineParser parser = new CmdLineParser(daemon);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException exception) {
      System.err.println(name + ": " + exception.getMessage());
      System.exit(EXIT_USAGE);
    }
    if (daemon.help || daemon.settingsFile.isEmpty()) {
      System.out.println("usage: " + name + " --settings FILE [--check-settings]");
      parser.printUsage(System.out);
      System.exit(daemon.help ? 0 : EXIT_USAGE);
    }
    SettingsReader reader = SettingsReader.of(Path.of(daemon.settingsFile));
    Runnable start = assembly.apply(reader);
    exitOnProblems(name, reader.problems());
    if (daemon.checkOnly) {
      System.out.println(name + ": the settings are valid");
      System.exit(0);
    }
    start.run();
  }

  /**
   * Starts the services of a kernel and blocks until the process was asked to terminate and all
   * services are stopped.
   *
   * @param kernel The kernel.
   * @param drain Ends the work of the process gracefully. It runs in the shutdown hook, before any
   *     service is stopped.
   */
  public static void start(Kernel kernel, Runnable drain) {
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  drain.run();
                  kernel.stop();
                  stopped.countDown();
                },
                "shutdown"));
    kernel.start();
    try {
      stopped.await();
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Creates the event recorder of a process.
   *
   * @param process The name of the process.
   * @return A recorder with a random incarnation and the system clock.
   */
  public static EventRecorder newEventRecorder(String process) {
    String incarnation = UUID.randomUUID().toString().substring(0, 8);
    return new EventRecorder(process, incarnation, InstantSource.system());
  }

  private static void exitOnProblems(String name, List<SettingsProblem> problems) {
    if (!problems.isEmpty()) {
      problems.forEach(problem -> System.err.println(name + ": " + problem));
      System.exit(EXIT_USAGE);
    }
  }
}
