package org.hickoryshed.kernel.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.tinylog.Logger;

/**
 * Divides the descriptors of this process among its listening ports.
 *
 * <p>The rest is for connections that the process opens itself, and for its files.
 */
public final class Descriptors {

  private static final Path LIMITS = Path.of("/proc/self/limits");

  private static final String LINE_START = "Max open files";

  /** Assumed if the operating system does not tell the limit. */
  private static final int DEFAULT_LIMIT = 1024;

  private static final int LIMIT = readLimit();

  private Descriptors() {}

  /** Returns the highest number of sessions of callers. */
  public static int forSessions() {
    return LIMIT / 2;
  }

  /** Returns the highest number of connections at each port for other processes. */
  public static int forOtherPort() {
    return LIMIT / 8;
  }

  /** Reads the limit, which the JVM raises to the highest allowed one at its start. */
  private static int readLimit() {
    try {
      return Files.readAllLines(LIMITS).stream()
          .filter(line -> line.startsWith(LINE_START))
          .flatMap(line -> Arrays.stream(line.substring(LINE_START.length()).trim().split(" +")))
          .findFirst()
          .map(Descriptors::parse)
          .orElse(DEFAULT_LIMIT);
    } catch (IOException exception) {
      Logger.warn("the limit of descriptors is not known: {}", exception.getMessage());
      return DEFAULT_LIMIT;
    }
  }

  private static int parse(String limit) {
    return limit.equals("unlimited")
        ? Integer.MAX_VALUE
        : (int) Math.min(Long.parseLong(limit), Integer.MAX_VALUE);
  }
}
