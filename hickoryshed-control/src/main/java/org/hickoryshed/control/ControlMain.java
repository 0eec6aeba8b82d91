package org.hickoryshed.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.platform.StoreClient;
import org.hickoryshed.client.platform.StoreClient.Versioned;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.settings.SettingsProblem;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/**
 * The command line tool {@code hickoryshed-ctl}, with which operators read and edit the tables of
 * routes and pools.
 */
public final class ControlMain {

  private static final String NAME = "hickoryshed-ctl";

  /** The exit code of a command that was refused or failed. */
  private static final int EXIT_FAILED = 1;

  /** The longest time to wait for each proxy. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  private static final String HELP =
      """
      usage: hickoryshed-ctl [options] COMMAND [FILE]

      commands:
        get            print the revision and both tables as TOML
        pools, routes  print one table
        check FILE     check a file without applying it
        diff FILE      show what applying a file would change
        apply FILE     apply a file; its "revision" must be the accepted revision
        history        list the accepted edits
        status         show the revision that each proxy (--proxy) uses
        explain        show where a statement of --route would go now, and why

      exit codes: 0 done, 1 refused or failed, 2 wrong usage or invalid file

      options:
      """;

  @Option(name = "--store", metaVar = "IP:PORT", usage = "the address of the platform's store")
  private String storeAddress = "127.0.0.1:7000";

  @Option(name = "--proxy", metaVar = "IP:PORT", usage = "the admin address of a proxy; repeatable")
  private List<String> proxies = new ArrayList<>();

  @Option(name = "--operator", metaVar = "NAME", usage = "the name to record in the history")
  private String operator = System.getProperty("user.name", "unknown");

  @Option(name = "--route", metaVar = "NAME", usage = "explain: the database")
  private String route = "";

  @Option(name = "--workspace", metaVar = "NAME", usage = "explain: the workspace")
  private String workspace = "";

  @Option(
      name = "--session",
      metaVar = "TERM.INDEX|floor",
      usage = "explain: the session's last commit, or that it saw the newest known one")
  private String session = "";

  @Option(name = "--write", usage = "explain: the statement may write")
  private boolean write;

  @Option(name = "--json", usage = "explain: print JSON")
  private boolean json;

  @Option(name = "--help", help = true, usage = "print this page and exit")
  private boolean help;

  @Argument(index = 0, metaVar = "COMMAND", usage = "what to do")
  private String command = "";

  @Argument(index = 1, metaVar = "FILE", usage = "the TOML file with the tables")
  private String file = "";

  private final JsonHttpClient http = new JsonHttpClient(InetAddress.getLoopbackAddress());

  private ControlMain() {}

  /**
   * Runs a command and exits with its exit code.
   *
   * @param arguments The arguments of the command line.
   */
  public static void main(String[] arguments) {
    ControlMain control = new ControlMain();
    CmdLineParser parser = new CmdLineParser(control);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException exception) {
      System.err.println(NAME + ": " + exception.getMessage());
      System.exit(Daemon.EXIT_USAGE);
    }
    if (control.help || control.command.isEmpty()) {
      System.out.print(HELP);
      parser.printUsage(System.out);
      System.exit(control.help ? 0 : Daemon.EXIT_USAGE);
    }
    System.exit(control.run());
  }

  private int run() {
    TableEditor editor = new TableEditor(new StoreClient(http, storeAddress), operator);
    return switch (command) {
      case "get" -> print(editor, true, true);
      case "pools" -> print(editor, true, false);
      case "routes" -> print(editor, false, true);
      case "check" -> check();
      case "diff" -> diff(editor);
      case "apply" -> apply(editor);
      case "history" -> history(editor);
      case "status" -> status();
      case "explain" -> explain();
      default -> {
        System.err.println(NAME + ": unknown command " + command + "; see --help");
        yield Daemon.EXIT_USAGE;
      }
    };
  }

  /** Prints the accepted tables and returns the exit code. */
  private static int print(TableEditor editor, boolean pools, boolean routes) {
    return switch (editor.current()) {
      case Result.Failed<Versioned<Configuration>, EditFailure>(EditFailure failure) ->
          fail(failure);
      case Result.Success<Versioned<Configuration>, EditFailure>(
              Versioned<Configuration> accepted) -> {
        System.out.print(TableWriter.write(accepted.value(), pools, routes));
        yield 0;
      }
    };
  }

  /** Checks the file without asking the store and returns the exit code. */
  private int check() {
    return switch (TableReader.read(SettingsReader.of(Path.of(file)), "")) {
      case Result.Failed<Configuration, List<SettingsProblem>>(List<SettingsProblem> problems) ->
          fail(new EditFailure.InvalidFile(problems));
      case Result.Success<Configuration, List<SettingsProblem>> ignored -> {
        System.out.println("the tables are valid");
        yield 0;
      }
    };
  }

  /** Prints what applying the file would change and returns the exit code. */
  private int diff(TableEditor editor) {
    Result<Configuration, List<SettingsProblem>> read =
        TableReader.read(SettingsReader.of(Path.of(file)), "");
    if (read instanceof Result.Failed<Configuration, List<SettingsProblem>> failed) {
      return fail(new EditFailure.InvalidFile(failed.failure()));
    }
    Optional<Versioned<Configuration>> accepted = editor.current().value();
    if (accepted.isEmpty()) {
      return fail(new EditFailure.StoreUnavailable("the store did not answer"));
    }
    TableEditor.difference(accepted.get().value(), read.value().orElseThrow())
        .forEach(System.out::println);
    return 0;
  }

  /** Applies the file and returns the exit code. */
  private int apply(TableEditor editor) {
    return switch (editor.apply(SettingsReader.of(Path.of(file)))) {
      case Result.Failed<Configuration, EditFailure>(EditFailure failure) -> fail(failure);
      case Result.Success<Configuration, EditFailure>(Configuration accepted) -> {
        System.out.println("accepted as revision " + accepted.revision());
        yield 0;
      }
    };
  }

  /** Prints the accepted edits and returns the exit code. */
  private static int history(TableEditor editor) {
    return switch (editor.history()) {
      case Result.Failed<History, EditFailure>(EditFailure failure) -> fail(failure);
      case Result.Success<History, EditFailure>(History history) -> {
        for (History.Edit edit : history.edits()) {
          System.out.printf(
              "%6d  %s  %-12s  %s%n", edit.revision(), edit.time(), edit.operator(), edit.editId());
        }
        yield 0;
      }
    };
  }

  /**
   * Prints the status of each proxy and returns the exit code, which is a failure if one did not
   * answer.
   */
  private int status() {
    int exit = 0;
    System.out.printf(
        "%-22s %-10s %-12s %8s %8s %6s%n", "address", "name", "domain", "revision", "vms", "ready");
    for (String proxy : proxies) {
      Optional<JsonNode> status =
          http.call("GET", proxy, "/status", null, TIMEOUT)
              .value()
              .flatMap(response -> response.as(JsonNode.class).value());
      if (status.isEmpty()) {
        System.out.printf("%-22s no answer%n", proxy);
        exit = EXIT_FAILED;
        continue;
      }
      System.out.printf(
          "%-22s %-10s %-12s %8s %8s %6s%n",
          proxy,
          status.get().path("name").asText(),
          status.get().path("domain").asText(),
          status.get().path("configurationRevision").asText(),
          status.get().path("vmListRevision").asText(),
          status.get().path("ready").asText());
    }
    return exit;
  }

  /** Prints where a statement would go and returns the exit code. */
  private int explain() {
    if (route.isEmpty() || proxies.size() != 1) {
      System.err.println(NAME + ": explain needs --route and one --proxy");
      return Daemon.EXIT_USAGE;
    }
    ExplainCommand.Question question =
        new ExplainCommand.Question(route, workspace, session, write);
    return switch (new ExplainCommand(http, proxies.get(0)).ask(question)) {
      case Result.Failed<JsonNode, String>(String reason) -> {
        System.err.println(NAME + ": " + reason);
        yield EXIT_FAILED;
      }
      case Result.Success<JsonNode, String>(JsonNode explanation) -> {
        System.out.print(
            json ? explanation.toPrettyString() + "\n" : ExplainCommand.write(explanation));
        yield 0;
      }
    };
  }

  /** Prints a failure and returns its exit code. */
  private static int fail(EditFailure failure) {
    return switch (failure) {
      case EditFailure.InvalidFile(List<SettingsProblem> problems) -> {
        problems.forEach(problem -> System.err.println(NAME + ": " + problem));
        yield Daemon.EXIT_USAGE;
      }
      case EditFailure.Conflict(long expected, long current, List<String> difference) -> {
        System.err.printf(
            "%s: conflict: the file is based on revision %d, but revision %d is accepted%n",
            NAME, expected, current);
        difference.forEach(line -> System.err.println("  " + line));
        yield EXIT_FAILED;
      }
      case EditFailure.StoreUnavailable(String detail) -> {
        System.err.println(NAME + ": the store is unavailable: " + detail);
        yield EXIT_FAILED;
      }
    };
  }
}
