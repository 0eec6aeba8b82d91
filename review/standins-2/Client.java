import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A session of a client over the wire. */
final class Client implements AutoCloseable {

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(InetSocketAddress address, String database, int timeoutMillis) throws IOException {
    socket.connect(address, 2000);
    socket.setTcpNoDelay(true);
    socket.setSoTimeout(timeoutMillis);
    in = new BufferedInputStream(socket.getInputStream());
    send("START " + database);
    String line = readLine();
    if (!line.startsWith("READY ")) {
      throw new IOException("START refused: " + line);
    }
  }

  /** The response to a statement: its rows, then DONE or ERR, then READY. */
  record Response(List<String> rows, String outcome, String ready) {
    boolean isDone() {
      return outcome.startsWith("DONE ");
    }
  }

  Response query(String id, String text) throws IOException {
    send("QUERY " + id + " " + text);
    List<String> rows = new ArrayList<>();
    while (true) {
      String line = readLine();
      if (line.startsWith("ROW ")) {
        rows.add(line.substring(4));
      } else {
        return new Response(rows, line, readLine());
      }
    }
  }

  void send(String line) throws IOException {
    socket.getOutputStream().write((line + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
  }

  String readLine() throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next != '\n'; next = in.read()) {
      if (next < 0) {
        throw new IOException("closed by the proxy");
      }
      if (next != '\r') {
        bytes.write(next);
      }
    }
    return bytes.toString(StandardCharsets.ISO_8859_1);
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
