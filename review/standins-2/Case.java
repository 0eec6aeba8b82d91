import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What all cases share: the stand-in of the platform, the proxies, the record and the exit status. */
abstract class Case {

  static final int HELD = 0;
  static final int BROKEN = 1;
  static final int NOT_RUN = 2;

  private static final long READY_MILLIS = 20_000;

  /** A case that takes longer could not run. */
  private static final long MAX_MILLIS = 115_000;

  final List<Proxy> proxies = new ArrayList<>();
  final List<Database> databases = new ArrayList<>();
  Log log;
  Platform platform;

  /** False if the case is to run without its disruptions. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  private Path folder;

  /** Plays the case and returns its status. */
  abstract int play() throws IOException, InterruptedException;

  /** Runs a case, writes its record and ends this process with its status. */
  static void run(Case played, String[] arguments) {
    Runtime.getRuntime().addShutdownHook(new Thread(() -> played.proxies.forEach(Proxy::close)));
    Thread.ofPlatform()
        .daemon()
        .start(
            () -> {
              Platform.pause(MAX_MILLIS);
              System.err.println("the case took too long");
              played.proxies.forEach(Proxy::close);
              Runtime.getRuntime().halt(NOT_RUN);
            });
    int status = NOT_RUN;
    try (Log log = new Log(Path.of(arguments[0]))) {
      played.log = log;
      log.line(played.getClass().getName() + (played.trouble ? "" : " without its disruptions"));
      try (Platform platform = new Platform(log)) {
        played.platform = platform;
        played.folder = Files.createTempDirectory("review-2");
        status = played.play();
      } finally {
        played.proxies.forEach(Proxy::close);
        played.databases.forEach(Database::close);
      }
      log.line("exit " + status);
    } catch (Throwable thrown) {
      thrown.printStackTrace();
      status = NOT_RUN;
    } finally {
      played.delete();
    }
    System.out.println(played.getClass().getName() + ": exit " + status);
    System.exit(status);
  }

  private void delete() {
    if (folder != null) {
      for (File file : folder.toFile().listFiles()) {
        file.delete();
      }
      folder.toFile().delete();
    }
  }

  Database database(String service, int syncReplicas) {
    Database database = new Database(service, syncReplicas, platform, log);
    databases.add(database);
    return database;
  }

  /** Starts a proxy in each zone; false if one does not get ready. */
  boolean startProxies(List<String> zones) throws IOException, InterruptedException {
    for (int number = 1; number <= zones.size(); number++) {
      Proxy proxy =
          new Proxy(
              number, zones.get(number - 1), zones.stream().distinct().toList(), platform, folder,
              log);
      proxies.add(proxy);
      proxy.start();
    }
    for (Proxy proxy : proxies) {
      if (!proxy.awaitReady(READY_MILLIS)) {
        log.line("a proxy did not get ready");
        return false;
      }
    }
    return true;
  }
}
