package org.hickoryshed.timeline;

import java.io.IOException;
import java.net.InetAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.event.Event;
import org.hickoryshed.kernel.json.Json;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;

/** The binary {@code hickoryshed-timeline}. */
public final class TimelineMain {

  /** The name of the binary. */
  private static final String NAME = "hickoryshed-timeline";

  /** The exit code if a source gave no events. */
  private static final int EXIT_INCOMPLETE = 1;

  /** The longest time to wait for a process. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /** The form of the output. */
  @Option(name = "--format", metaVar = "FORM", usage = "text, json or html")
  private Format format = Format.TEXT;

  /** True if the usage is to be printed. */
  @Option(name = "--help", help = true, usage = "print this page and exit")
  private boolean help;

  /** The sources. */
  @Argument(metaVar = "SOURCE", usage = "an admin address (IP:PORT) or a JSON file of events")
  private List<String> sources = new ArrayList<>();

  /** This class is instantiated by its main method only. */
  private TimelineMain() {}

  /**
   * Collects events and prints them in one order.
   *
   * @param arguments The arguments of the command line.
   */
  public static void main(String[] arguments) {
    TimelineMain main = new TimelineMain();
    CmdLineParser parser = new CmdLineParser(main);
    try {
      parser.parseArgument(arguments);
    } catch (CmdLineException exception) {
      System.err.println(NAME + ": " + exception.getMessage());
      System.exit(Daemon.EXIT_USAGE);
    }
    if (main.help || main.sources.isEmpty()) {
      System.out.println("usage: " + NAME + " [--format FORM] SOURCE...");
      parser.printUsage(System.out);
      System.exit(main.help ? 0 : Daemon.EXIT_USAGE);
    }
    System.exit(main.run());
  }

  /**
   * Collects events and prints them.
   *
   * @return The exit code.
   */
  private int run() {
    JsonHttpClient caller = new JsonHttpClient(InetAddress.getLoopbackAddress());
    List<Event> events = new ArrayList<>();
    int exit = 0;
    for (String source : sources) {
      Optional<Event[]> found = collect(caller, source);
      if (found.isEmpty()) {
        System.err.println(NAME + ": no events from " + source);
        exit = EXIT_INCOMPLETE;
      }
      events.addAll(List.of(found.orElse(new Event[0])));
    }
    Timeline timeline = Timeline.of(events);
    switch (format) {
      case TEXT -> System.out.print(timeline.text());
      case JSON -> System.out.writeBytes(Json.write(timeline.events()));
      case HTML -> System.out.print(timeline.page());
    }
    return exit;
  }

  /**
   * Collects the events of a source.
   *
   * @param caller The caller.
   * @param source The admin address or the file.
   * @return The events or an empty optional.
   */
  private static Optional<Event[]> collect(JsonHttpClient caller, String source) {
    Path file = Path.of(source);
    if (Files.isReadable(file)) {
      try {
        return Json.read(Files.readAllBytes(file), Event[].class).value();
      } catch (IOException exception) {
        return Optional.empty();
      }
    }
    return caller
        .call("GET", source, "/events", null, TIMEOUT)
        .value()
        .flatMap(reply -> reply.as(Event[].class).value());
  }

  /** The form of the output. */
  private enum Format {

    /** A line for each event. */
    TEXT,

    /** A list of events. */
    JSON,

    /** A page with a lane for each process. */
    HTML
  }
}
