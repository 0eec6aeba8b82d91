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

/** The command line frame of a daemon: settings, start, graceful stop. */
public final class Daemon {

  /** The exit code for a wrong command line or wrong settings. */
  public static final int EXIT_USAGE = 2;

  /** The file that holds the settings. */
  @Option(name = "--settings", metaVar = "FILE", usage = "the TOML file with the settings")
  private String settings = "";

  /** True if the settings are only to be checked. */
  @Option(name = "--check-settings", usage = "check the settings and exit")
  private boolean check;

  /** True if the usage is to be printed. */
  @Option(name = "--help", help = true, usage = "print this page and exit")
  private boolean help;

  /**
   * Runs a daemon until it is terminated.
   *
   * @param name The name of the binary.
   * @param arguments The arguments of the command line.
   * @param assembly The function that reads the settings and registers the services.
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
    if (daemon.help || daemon.settings.isEmpty()) {
      System.out.println("usage: " + name + " --settings FILE [--check-settings]");
      parser.printUsage(System.out);
      System.exit(daemon.help ? 0 : EXIT_USAGE);
    }
    SettingsReader reader = SettingsReader.of(Path.of(daemon.settings));
    Runnable start = assembly.apply(reader);
    exitOnProblems(name, reader.problems());
    if (daemon.check) {
      System.out.println(name + ": the settings are right");
      System.exit(0);
    }
    start.run();
  }

  /**
   * Starts a kernel and stops it when the process is asked to terminate.
   *
   * @param kernel The kernel.
   * @param drain The graceful part of the stop, run while all services are running.
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
   * @return An event recorder with a fresh incarnation.
   */
  public static EventRecorder newEventRecorder(String process) {
    String incarnation = UUID.randomUUID().toString().substring(0, 8);
    return new EventRecorder(process, incarnation, InstantSource.system());
  }

  /**
   * Ends the process if there are problems.
   *
   * @param name The name of the binary.
   * @param problems The problems.
   */
  private static void exitOnProblems(String name, List<SettingsProblem> problems) {
    if (!problems.isEmpty()) {
      problems.forEach(problem -> System.err.println(name + ": " + problem));
      System.exit(EXIT_USAGE);
    }
  }
}
