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

/**
 * The command line tool {@code hickoryshed-timeline}, which collects the events of processes and
 * prints them in one order.
 */
public final class TimelineMain {

  private static final String NAME = "hickoryshed-timeline";

  /** The exit code if a source gave no events. */
  private static final int EXIT_INCOMPLETE = 1;

  /** The longest time to wait for each process. */
  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  @Option(name = "--format", metaVar = "FORM", usage = "text, json or html")
  private Format format = Format.TEXT;

  @Option(name = "--help", help = true, usage = "print this page and exit")
  private boolean help;

  @Argument(metaVar = "SOURCE", usage = "an admin address (IP:PORT) or a JSON file of events")
  private List<String> sources = new ArrayList<>();

  private TimelineMain() {}

  /**
   * Collects events, prints them and exits with code 1 if a source gave none.
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

  private int run() {
    JsonHttpClient http = new JsonHttpClient(InetAddress.getLoopbackAddress());
    List<Event> events = new ArrayList<>();
    int exit = 0;
    for (String source : sources) {
      Optional<Event[]> found = collect(http, source);
      if (found.isEmpty()) {
        System.err.println(NAME + ": no events could be read from " + source);
        exit = EXIT_INCOMPLETE;
      }
      events.addAll(List.of(found.orElse(new Event[0])));
    }
    Timeline timeline = Timeline.of(events);
    switch (format) {
      case TEXT -> System.out.print(timeline.text());
      case JSON -> System.out.writeBytes(Json.write(timeline.events()));
      case HTML -> System.out.print(timeline.html());
    }
    return exit;
  }

  /**
   * Returns the events of a readable file or of an admin address, empty if there is neither or its
   * content is malformed.
   */
  private static Optional<Event[]> collect(JsonHttpClient http, String source) {
    Path file = Path.of(source);
    if (Files.isReadable(file)) {
      try {
        return Json.read(Files.readAllBytes(file), Event[].class).value();
      } catch (IOException exception) {
        return Optional.empty();
      }
    }
    return http.call("GET", source, "/events", null, TIMEOUT)
        .value()
        .flatMap(response -> response.as(Event[].class).value());
  }

  /** The output formats. */
  private enum Format {

    /** One line for each event. */
    TEXT,

    /** A JSON array of events. */
    JSON,

    /** An HTML page with a lane for each process. */
    HTML
  }
}
