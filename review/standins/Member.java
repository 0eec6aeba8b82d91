import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One member of a database: its address, its connections and its slots. */
final class Member {

  /** A statement that a member ran, how many commits its log showed and which commit it made. */
  record Run(
      String id,
      String text,
      String member,
      long visible,
      long commit) {}

  private static final AtomicLong BORN = new AtomicLong(System.currentTimeMillis());
  private static final AtomicLong PROOFS = new AtomicLong();

  final Database database;
  final String id;
  final String zone;

  /** The runs of all members of this process by the MAC that the member sent for them. */
  static final Map<String, Run> RUNS = new ConcurrentHashMap<>();

  /** The last commit that was received and applied, guarded by the database. */
  long received;

  long applied;

  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Semaphore slots;
  private final AtomicInteger waiting = new AtomicInteger();
  private final long born = BORN.incrementAndGet();
  private volatile boolean running = true;
  private volatile boolean draining;

  /** True while this member receives nothing from the primary. */
  volatile boolean deaf;

  /** The connections that are older than this, in nanoseconds, carry nothing any more. */
  volatile long silentBefore = Long.MIN_VALUE;

  /** Chooses the responses that are cut off behind the line with the outcome. */
  volatile java.util.function.Predicate<String> cutBehindOutcome = text -> false;

  Member(Database database, String id, String zone) {
    this.database = database;
    this.id = id;
    this.zone = zone;
    slots = new Semaphore(database.spec.slots(), true);
    try {
      listener = new ServerSocket(0, 128, InetAddress.getByName("127.0.0.1"));
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
    Thread.ofVirtual().start(this::accept);
  }

  boolean isRunning() {
    return running;
  }

  boolean isDraining() {
    return draining;
  }

  /** Reports that this member is to leave. */
  void drain() {
    draining = true;
    register();
  }

  /** Writes the entry of this member into the store. */
  void register() {
    if (running) {
      database.store.put(
          "servers",
          id,
          """
          {"Service":"%s","Address":"127.0.0.1:%d","Zone":"%s","Version":"v1","Capacity":%d,
           "State":"%s","ColdRemainingMs":0,"DbRole":"%s","Sequence":1,"born":%d}
          """
              .formatted(
                  database.spec.service(),
                  listener.getLocalPort(),
                  zone,
                  database.spec.slots(),
                  draining ? "draining" : "ready",
                  database.isPrimary(this) ? "primary" : "replica",
                  born));
    }
  }

  /** Ends this member and removes its entry. */
  void stop() {
    running = false;
    try {
      listener.close();
      for (Socket socket : sockets) {
        socket.close();
      }
    } catch (IOException exception) {
      throw new IllegalStateException(exception);
    }
  }

  /**
   * Occupies a slot for a time.
   *
   * @return {@code false} at once if too many wait already.
   */
  boolean work(double millis) throws InterruptedException {
    if (waiting.incrementAndGet() > database.spec.queue() + database.spec.slots()) {
      waiting.decrementAndGet();
      return false;
    }
    try {
      slots.acquire();
      try {
        Database.pause(millis);
      } finally {
        slots.release();
      }
    } finally {
      waiting.decrementAndGet();
    }
    return true;
  }

  /** Makes all connections that are open now go silent for good; new ones work. */
  void silenceOpenConnections() {
    silentBefore = System.nanoTime();
  }

  int connections() {
    return sockets.size();
  }

  int busySlots() {
    return database.spec.slots() - slots.availablePermits();
  }

  /** Returns a new MAC and keeps what it stands for. */
  String proof(Run run) {
    String proof = Long.toHexString(PROOFS.incrementAndGet()) + "." + run.id + "." + id;
    RUNS.put(proof, run);
    database.record.line(
        "%s ran %s %s on a log of %d commits, as commit %d",
        id, run.id, run.text, run.visible, run.commit);
    return proof;
  }

  private void accept() {
    while (running) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        boolean refused = sockets.size() > database.spec.maxConnections();
        Thread.ofVirtual()
            .start(
                () -> {
                  new MemberSession(this, socket, refused).run();
                  sockets.remove(socket);
                });
      } catch (IOException exception) {
        return; // The member ended.
      }
    }
  }
}
