import java.io.File;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** One proxy: the program of the deploy file as a process, with a loopback address of its own. */
final class Proxy implements AutoCloseable {

  final String name;
  final InetSocketAddress front;
  final String ip;
  final InetSocketAddress peer;
  private final InetSocketAddress ready;
  private final Path settings;
  private final File output;
  private final Log log;
  private Process process;

  Proxy(int number, String zone, List<String> zones, Platform platform, Path folder, Log log)
      throws IOException {
    this.log = log;
    name = "front-" + zone + "-" + number;
    ip = "127.0.1." + number;
    front = new InetSocketAddress(ip, freePort(ip));
    ready = new InetSocketAddress(ip, freePort(ip));
    peer = new InetSocketAddress(ip, PEER_PORT);
    settings = folder.resolve(name + ".toml");
    output = folder.resolve(name + ".log").toFile();
    StringBuilder text = new StringBuilder();
    text.append("name = \"" + name + "\"\n");
    text.append("domain = \"" + zone + "\"\n");
    text.append("caller-address = \"" + ip + ":" + front.getPort() + "\"\n");
    text.append("admin-address = \"" + ip + ":" + ready.getPort() + "\"\n");
    text.append("peer-address = \"" + ip + ":" + PEER_PORT + "\"\n");
    if (platform.links == null) {
      text.append("seeds = [\"127.0.1.1:8782\",\"127.0.1.2:8782\",\"127.0.1.3:8782\"]\n");
    }
    text.append("shutdown-grace = \"6 s\"\n");
    text.append("[platform]\n");
    text.append("store = \"" + platform.storeAddress() + "\"\n");
    text.append("promotion = \"" + platform.promotionAddress() + "\"\n");
    text.append("fencing = true\n");
    for (String known : zones) {
      text.append("[domains." + known + "]\nregion = \"region\"\n");
    }
    Files.writeString(settings, text.toString());
  }

  /** The port for messages between proxies, the same on all machines. */
  static final int PEER_PORT = choosePeerPort();

  private static int choosePeerPort() {
    try {
      return freePort("127.0.1.1");
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  private static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  /** Starts the command of the deploy file in the root of the repository. */
  void start() throws IOException {
    List<String> command = new ArrayList<>();
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        String run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        command.addAll(List.of(run.split(" ")));
      }
    }
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().put("HICKORYSHED_SETTINGS", settings.toString());
    builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(output));
    process = builder.start();
    log.line("started " + name);
  }

  void signal(String signal) throws IOException, InterruptedException {
    log.line("signal " + signal + " to " + name);
    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
  }

  boolean isAlive() {
    return process.isAlive();
  }

  int exitStatus() {
    return process.exitValue();
  }

  boolean waitFor(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  boolean isReady() {
    try {
      HttpURLConnection connection =
          (HttpURLConnection)
              URI.create("http://" + ip + ":" + ready.getPort() + "/v1/ready")
                  .toURL()
                  .openConnection();
      connection.setConnectTimeout(500);
      connection.setReadTimeout(500);
      return connection.getResponseCode() == 200;
    } catch (IOException exception) {
      return false;
    }
  }

  /** Waits until the proxy reports itself ready. */
  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() < end) {
      if (isReady()) {
        log.line("ready " + name);
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }

  /** Returns the lines that the process wrote. */
  List<String> output() throws IOException {
    return Files.readAllLines(output.toPath());
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
    }
  }
}
