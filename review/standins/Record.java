import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes record.txt: one line an event, with the seconds since the start of the script. */
final class Record implements AutoCloseable {

  private final long start = System.nanoTime();
  private final PrintWriter writer;

  /** Opens the record. From then on, a script whose main thread fails exits as one that couldn't run. */
  Record(Path file) {
    Thread.setDefaultUncaughtExceptionHandler(
        (thread, thrown) -> {
          thrown.printStackTrace();
          if (thread.getName().equals("main")) {
            Runtime.getRuntime().exit(2);
          }
        });
    try {
      writer = new PrintWriter(Files.newBufferedWriter(file));
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  double seconds() {
    return (System.nanoTime() - start) / 1e9;
  }

  synchronized void line(String format, Object... arguments) {
    writer.printf(Locale.ROOT, "%9.4f %s%n", seconds(), String.format(format, arguments));
  }

  /** Writes a line to the record and to the standard output. */
  void say(String format, Object... arguments) {
    line(format, arguments);
    System.out.println(String.format(format, arguments));
  }

  @Override
  public synchronized void close() {
    writer.close();
  }
}
