package org.hickoryshed.load;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.hickoryshed.load.benchmark.Microbenchmarks;
import org.hickoryshed.load.demonstration.Demonstration;
import org.hickoryshed.load.experiment.ExperimentRunner;
import org.hickoryshed.load.experiment.StreamResult;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * The entry point of the binary {@code hickoryshed-load}: the demonstration, experiments and
 * microbenchmarks.
 */
public final class LoadMain {

  private static final String NAME = "hickoryshed-load";

  private static final int DEMONSTRATION_PROXIES = 3;

  @Option(name = "--proxy", metaVar = "IP:PORT", usage = "a proxy for callers; repeatable")
  private List<String> proxies = new ArrayList<>();

  @Option(name = "--store", metaVar = "IP:PORT", usage = "the address of the platform's store")
  private String store = "127.0.0.1:7000";

  @Option(name = "--help", help = true, usage = "print this page and exit")
  private boolean help;

  @Argument(index = 0, metaVar = "COMMAND", usage = "demonstrate, run or slopes")
  private String command = "";

  @Argument(index = 1, metaVar = "FILE", usage = "the TOML file of an experiment; repeatable")
  private List<String> files = new ArrayList<>();

  @Option(name = "--json", metaVar = "FILE", usage = "the file to write the figures to as JSON")
  private String json = "";

  private LoadMain() {}

  /**
   * Runs a command and exits with its exit status.
   *
   * @param arguments The command-line arguments.
   */
  public static void main(String[] arguments) {
    LoadMain main = new LoadMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException exception) {
      System.err.println(NAME + ": " + exception.getMessage());
      System.exit(Daemon.EXIT_USAGE);
    }
    if (main.help || main.command.isEmpty()) {
      System.out.println(
          "usage: "
              + NAME
              + " demonstrate|run|slopes --store IP:PORT --proxy IP:PORT... [FILE...]");
      parser.printUsage(System.out);
      System.exit(main.help ? 0 : Daemon.EXIT_USAGE);
    }
    System.exit(main.run());
  }

  /** Runs the command and returns the exit status. */
  private int run() {
    JsonHttpClient http = new JsonHttpClient(InetAddress.getLoopbackAddress());
    return switch (command) {
      case "demonstrate" -> {
        if (proxies.size() != DEMONSTRATION_PROXIES) {
          System.err.println(
              NAME + ": the demonstration needs " + DEMONSTRATION_PROXIES + " proxies");
          yield Daemon.EXIT_USAGE;
        }
        yield new Demonstration(http, proxies, store).run() == 0 ? 0 : 1;
      }
      case "run" -> runExperiments(new ExperimentRunner(http, proxies, store));
      case "slopes" -> {
        new Microbenchmarks().run();
        yield 0;
      }
      default -> {
        System.err.println(NAME + ": unknown command " + command + "; see --help");
        yield Daemon.EXIT_USAGE;
      }
    };
  }

  /**
   * Runs the experiments of all files and writes their results as JSON if that was asked for. Stops
   * at the first file that has problems.
   *
   * @return The exit status.
   */
  private int runExperiments(ExperimentRunner runner) {
    Map<String, Object> results = new LinkedHashMap<>();
    for (String file : files) {
      Optional<Map<String, Map<String, StreamResult.Figures>>> result =
          runner.run(SettingsReader.of(Path.of(file)));
      if (result.isEmpty()) {
        return Daemon.EXIT_USAGE;
      }
      results.put(file, result.get());
    }
    if (!json.isEmpty()) {
      try {
        Files.write(Path.of(json), Json.write(results));
      } catch (IOException exception) {
        System.err.println(NAME + ": " + exception);
        return 1;
      }
    }
    return 0;
  }
}
