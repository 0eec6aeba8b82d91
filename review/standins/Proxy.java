import java.io.IOException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A proxy of this project as a process of its own, started as the deploy file says. */
final class Proxy implements AutoCloseable {

  final String name;
  final String host;
  final int callerPort;
  final int adminPort;
  final int peerPort;
  private final Path folder;
  private Process process;

  /**
   * Writes the settings file.
   *
   * @param host The loopback address of the machine of this proxy, one a machine.
   */
  Proxy(String name, String zone, String host, Zones zones, Store store, Path folder)
      throws IOException {
    this.name = name;
    this.host = host;
    this.folder = folder;
    callerPort = freePort(host);
    adminPort = freePort(host);
    peerPort = freePort(host);
    StringBuilder text = new StringBuilder();
    // The same keys as in deploy/settings.toml.
    text.append("name = \"%s\"\ndomain = \"%s\"\n".formatted(name, zone));
    text.append("caller-address = \"%s:%d\"\n".formatted(host, callerPort));
    text.append("admin-address = \"%s:%d\"\n".formatted(host, adminPort));
    text.append("peer-address = \"%s:%d\"\n".formatted(host, peerPort));
    text.append("seeds = []\nshutdown-grace = \"6 s\"\n\n[platform]\n");
    text.append("store = \"%s\"\npromotion = \"%s\"\n".formatted(store.address(), store.address()));
    text.append("fencing = true\n");
    zones
        .regions()
        .forEach((key, region) -> text.append("\n[domains.%s]\nregion = \"%s\"\n".formatted(key, region)));
    Files.writeString(settings(), text.toString());
  }

  private Path settings() {
    return folder.resolve(name + ".toml");
  }

  /** Starts the process with the command of the deploy file. */
  void start() throws IOException {
    String command =
        Files.readAllLines(Path.of("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .map(line -> line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')))
            .findFirst()
            .orElseThrow();
    ProcessBuilder builder = new ProcessBuilder(List.of(command.split(" ")));
    Map<String, String> environment = builder.environment();
    environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
    environment.put("HICKORYSHED_SETTINGS", settings().toString());
    builder.redirectErrorStream(true);
    builder.redirectOutput(
        ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
    process = builder.start();
  }

  InetSocketAddress callerAddress() {
    return new InetSocketAddress(host, callerPort);
  }

  Process process() {
    return process;
  }

  boolean awaitReady(long millis) throws InterruptedException {
    long end = System.nanoTime() + millis * 1_000_000;
    while (System.nanoTime() - end < 0) {
      try {
        HttpURLConnection call =
            (HttpURLConnection)
                URI.create("http://" + host + ":" + adminPort + "/v1/ready").toURL().openConnection();
        call.setConnectTimeout(500);
        call.setReadTimeout(1500);
        if (call.getResponseCode() == 200) {
          return true;
        }
      } catch (IOException exception) {
        // Not started yet.
      }
      Thread.sleep(100);
    }
    return false;
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(3, TimeUnit.SECONDS);
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }
  }

  private static int freePort(String host) throws IOException {
    InetAddress address = InetAddress.getByName(host);
    for (int attempt = 0; attempt < 50; attempt++) {
      try (ServerSocket tcp = new ServerSocket(0, 1, address);
          DatagramSocket ignored =
              new DatagramSocket(new InetSocketAddress(address, tcp.getLocalPort()))) {
        return tcp.getLocalPort();
      } catch (IOException exception) {
        // Try another one.
      }
    }
    throw new IOException("no free port");
  }
}
