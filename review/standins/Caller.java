import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A session of a client: sends a message, then waits for the whole answer. */
final class Caller implements AutoCloseable {

  /** An answer; the proof is empty unless it is a success, the error empty if it is one. */
  record Answer(List<String> rows, String proof, String error, String state) {
    boolean succeeded() {
      return error.isEmpty();
    }
  }

  private final Socket socket = new Socket();
  private final BufferedReader reader;

  Caller(InetSocketAddress proxy, String database) throws IOException {
    this(proxy, database, 5000);
  }

  Caller(InetSocketAddress proxy, String database, int timeoutMillis) throws IOException {
    socket.connect(proxy, 1000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
    Answer opened;
    try {
      opened = send("START " + database + " client");
    } catch (IOException exception) {
      socket.close();
      throw exception;
    }
    if (!opened.succeeded()) {
      socket.close();
      throw new IOException("session refused: " + opened.error);
    }
  }

  Answer query(String id, String text) throws IOException {
    return send("QUERY " + id + " " + text);
  }

  private Answer send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
    List<String> rows = new ArrayList<>();
    String proof = "";
    String error = "";
    while (true) {
      String next = reader.readLine();
      if (next == null) {
        return new Answer(rows, "", error.isEmpty() ? "CLOSED" : error, "closed");
      }
      String[] words = next.split(" ", 3);
      switch (words[0]) {
        case "ROW" -> rows.add(next.substring(4));
        case "DONE" -> proof = words[1];
        case "ERR" -> error = words[1];
        case "READY" -> {
          return new Answer(rows, proof, error, words[1]);
        }
        default -> throw new IOException("unexpected line " + next);
      }
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
