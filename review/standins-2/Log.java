import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, with seconds since the start. */
final class Log implements AutoCloseable {

  private final long start = System.nanoTime();
  private final PrintWriter out;

  Log(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  synchronized void line(String text) {
    out.printf("%8.3f %s%n", (System.nanoTime() - start) / 1e9, text);
    out.flush();
  }

  @Override
  public synchronized void close() {
    out.close();
  }
}
