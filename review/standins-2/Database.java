import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A stand-in of one service: a primary and its replicas, each with a log of its own.
 *
 * <p>All state is guarded by the monitor of the database.
 */
final class Database implements AutoCloseable {

  private static final long PROMOTION_MILLIS = 300;

  private static final ScheduledExecutorService timers =
      Executors.newScheduledThreadPool(4, Thread.ofPlatform().daemon().factory());

  final String service;
  private final Platform platform;
  private final Log log;
  private final int syncReplicas;
  private final Map<String, Member> members = new LinkedHashMap<>();
  private long term = 1;
  private Member primary;
  private long macs;

  /** Called when a member takes the lead, with the values in its log. */
  volatile java.util.function.BiConsumer<String, Set<String>> onLead = (id, values) -> {};

  /** An entry of a log. */
  private record Entry(long term, String item, String value) {}

  Database(String service, int syncReplicas, Platform platform, Log log) {
    this.service = service;
    this.syncReplicas = syncReplicas;
    this.platform = platform;
    this.log = log;
  }

  /** Starts a member; the first one is the primary. A later one starts with the given log. */
  synchronized Member add(String id, String zone, String ip, int port, Member transferred)
      throws IOException {
    Member member = new Member(id, zone, ip, port);
    if (transferred != null) {
      member.entries.addAll(transferred.entries);
    }
    if (primary == null) {
      primary = member;
    }
    members.put(id, member);
    log.line("member " + id + " started, log " + member.position());
    catchUp(member);
    member.register("ready");
    return member;
  }

  synchronized Member primary() {
    return primary;
  }

  /** Handles the order of the platform: the member leads the next term a little later. */
  synchronized boolean promote(String id) {
    Member member = members.get(id);
    if (member == null || !member.running) {
      return false;
    }
    if (member == primary && member.running) {
      return true;
    }
    timers.schedule(() -> lead(member), PROMOTION_MILLIS, TimeUnit.MILLISECONDS);
    return true;
  }

  private synchronized void lead(Member member) {
    if (!member.running) {
      return;
    }
    Member before = primary;
    term++;
    primary = member;
    log.line("member " + member.id + " leads term " + term + ", log " + member.position()
        + (before == null ? "" : ", log of " + before.id + " " + before.position()));
    onLead.accept(member.id, values());
    for (Member other : members.values()) {
      if (other != member && other.running) {
        catchUp(other);
      }
    }
    member.register(member.state);
    if (before != null && before != member && before.running) {
      before.register(before.state);
    }
    notifyAll();
  }

  /** Gives a replica the log of the primary, unless it receives nothing at present. */
  private void catchUp(Member replica) {
    if (replica != primary && primary.running && !replica.deaf) {
      replica.entries.clear();
      replica.entries.addAll(primary.entries);
      notifyAll();
    }
  }

  /** Lets a replica receive nothing, or receive again. */
  synchronized void setDeaf(String id, boolean deaf) {
    Member member = members.get(id);
    member.deaf = deaf;
    log.line("member " + id + (deaf ? " receives nothing" : " receives again") + ", log "
        + member.position());
    catchUp(member);
  }

  /** Ends a member at once: its connections are closed and its port refuses. */
  synchronized void end(String id, String reason) {
    Member member = members.get(id);
    log.line("member " + id + " ends: " + reason + ", log " + member.position());
    member.running = false;
    member.closeSockets();
    notifyAll();
  }

  /** Returns the values in the log of the primary. */
  synchronized Set<String> values() {
    Set<String> values = new java.util.HashSet<>();
    primary.entries.forEach(entry -> values.add(entry.value));
    return values;
  }

  /** Appends writes to the log of the primary and waits for the replicas that confirm them. */
  private boolean commit(Member member, List<String[]> writes) throws InterruptedException {
    int size;
    synchronized (this) {
      if (member != primary || !member.running) {
        return false;
      }
      for (String[] write : writes) {
        member.entries.add(new Entry(term, write[0], write[1]));
      }
      size = member.entries.size();
      long ofTerm = term;
      for (Member replica : members.values()) {
        if (replica != member) {
          timers.schedule(
              () -> receive(replica, member, ofTerm, size),
              replica.lagMillis,
              TimeUnit.MILLISECONDS);
        }
      }
      while (member == primary && member.running && confirmations(size) < syncReplicas) {
        wait(100);
      }
      return member == primary && member.running;
    }
  }

  private long confirmations(int size) {
    return members.values().stream()
        .filter(replica -> replica != primary && replica.running)
        .filter(replica -> replica.entries.size() >= size)
        .filter(replica -> replica.entries.get(size - 1) == primary.entries.get(size - 1))
        .count();
  }

  private synchronized void receive(Member replica, Member from, long ofTerm, int size) {
    if (replica.running && !replica.deaf && from == primary && ofTerm == term && from.running) {
      for (int index = replica.entries.size(); index < size; index++) {
        replica.entries.add(from.entries.get(index));
      }
      notifyAll();
    }
  }

  @Override
  public void close() {
    synchronized (this) {
      members.values().forEach(Member::closeSockets);
    }
  }

  /** One member, which speaks the wire protocol. */
  final class Member {

    final String id;
    private final String zone;
    private final String ip;
    private final ServerSocket listener;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final List<Entry> entries = new ArrayList<>();
    private final long born = System.currentTimeMillis();
    private boolean running = true;
    private boolean deaf;
    private String state = "ready";

    /** When the store accepted that this member is draining, in nanoseconds; zero before. */
    volatile long drainingAt;

    /** The time after which a replica receives a commit. */
    volatile long lagMillis = 2;

    /** Told of each statement of a client that this member runs. */
    volatile java.util.function.BiConsumer<String, String> onRun = (requestId, text) -> {};

    private Member(String id, String zone, String ip, int port) throws IOException {
      this.id = id;
      this.zone = zone;
      this.ip = ip;
      listener = new ServerSocket();
      listener.setReuseAddress(true);
      listener.bind(new InetSocketAddress(InetAddress.getByName(ip), port), 100);
      Thread.ofVirtual().start(this::accept);
    }

    int port() {
      return listener.getLocalPort();
    }

    String position() {
      return (entries.isEmpty() ? term : entries.getLast().term) + "." + entries.size();
    }

    /** Writes the entry of this member into the store. */
    void register(String newState) {
      synchronized (Database.this) {
        if (!running) {
          return;
        }
        state = newState;
        log.line("member " + id + " registers as " + state + ", "
            + (this == primary ? "primary" : "replica"));
        platform.put(
            "servers",
            id,
            """
            {"Service":"%s","Address":"%s:%d","Zone":"%s","Version":"v1","Capacity":2,
             "State":"%s","ColdRemainingMs":0,"DbRole":"%s","Sequence":1,"born":%d}
            """
                .formatted(
                    service,
                    ip,
                    port(),
                    zone,
                    state,
                    this == primary ? "primary" : "replica",
                    born));
        if (state.equals("draining") && drainingAt == 0) {
          drainingAt = System.nanoTime();
        }
      }
    }

    private void closeSockets() {
      try {
        listener.close();
        for (Socket socket : sockets) {
          socket.close();
        }
      } catch (IOException exception) {
        throw new java.io.UncheckedIOException(exception);
      }
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          sockets.add(socket);
          Thread.ofVirtual()
              .start(
                  () -> {
                    new Session(this, socket).run();
                    sockets.remove(socket);
                  });
        } catch (IOException exception) {
          return;
        }
      }
    }
  }

  /** One connection to a member. */
  private final class Session {

    private final Member member;
    private final Socket socket;
    private final Map<String, String> prepared = new HashMap<>();
    private final List<String[]> writes = new ArrayList<>();
    private String state = "I";
    private boolean mayWrite;

    Session(Member member, Socket socket) {
      this.member = member;
      this.socket = socket;
    }

    void run() {
      try (socket;
          BufferedReader reader =
              new BufferedReader(
                  new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))) {
        socket.setTcpNoDelay(true);
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
          String[] words = line.split(" ", 3);
          if (words[0].equals("START")) {
            String[] fields = line.split(" ");
            if (!fields[1].equals(service) || (fields.length > 3 && !fields[3].equals(member.id))) {
              send("ERR MISDIRECT " + member.id + "\r\n");
              return;
            }
            send(ready());
          } else if (words[0].equals("QUERY")) {
            send(serve(words[1], words[2]) + ready());
          } else {
            return;
          }
        }
      } catch (IOException | InterruptedException exception) {
        // The connection ended, which rolls back.
      }
    }

    private String ready() {
      synchronized (Database.this) {
        return "READY " + state + " " + member.position() + "\r\n";
      }
    }

    private void send(String text) throws IOException {
      OutputStream output = socket.getOutputStream();
      output.write(text.getBytes(StandardCharsets.ISO_8859_1));
      output.flush();
    }

    private boolean leads() {
      synchronized (Database.this) {
        return member == primary && member.running;
      }
    }

    private boolean holds(String position) {
      int dot = position.indexOf('.');
      long wantedTerm = Long.parseLong(position.substring(0, dot));
      int number = Integer.parseInt(position.substring(dot + 1));
      synchronized (Database.this) {
        return number <= member.entries.size()
            && (number == 0 || member.entries.get(number - 1).term >= wantedTerm
                || member.entries.getLast().term >= wantedTerm);
      }
    }

    private String serve(String requestId, String text) throws InterruptedException {
      String statement = text;
      if (text.startsWith("AFTER ")) {
        String[] parts = text.split(" ", 3);
        if (!holds(parts[1])) {
          return "ERR LAGGING " + member.id + "\r\n";
        }
        statement = parts[2];
      }
      String[] words = statement.split(" ", 4);
      if (state.equals("E") && !words[0].equals("ROLLBACK") && !words[0].equals("COMMIT")) {
        return "ERR MALFORMED failed\r\n";
      }
      switch (words[0]) {
        case "BEGIN" -> {
          mayWrite = words.length == 1;
          if (mayWrite && !leads()) {
            return "ERR READONLY " + member.id + "\r\n";
          }
          state = "T";
          return "DONE -\r\n";
        }
        case "ROLLBACK" -> {
          state = "I";
          writes.clear();
          return "DONE -\r\n";
        }
        case "COMMIT" -> {
          member.onRun.accept(requestId, statement);
          boolean failed = state.equals("E");
          state = "I";
          List<String[]> kept = List.copyOf(writes);
          writes.clear();
          if (failed) {
            return "ERR ABORTED failed\r\n";
          }
          if (!kept.isEmpty() && !commit(member, kept)) {
            return "ERR READONLY " + member.id + "\r\n";
          }
          return done();
        }
        case "SET", "RESET", "DEALLOC" -> {
          return "DONE -\r\n";
        }
        case "PREPARE" -> {
          prepared.put(words[1], words[2]);
          return "DONE -\r\n";
        }
        case "STATUS", "STEPDOWN" -> {
          synchronized (Database.this) {
            return "ROW %s %d %s 0 0 0 %d\r\nDONE -\r\n"
                .formatted(
                    member == primary ? "primary" : "replica",
                    member.entries.isEmpty() ? term : Math.max(term, member.entries.getLast().term),
                    member.position(),
                    member.sockets.size());
          }
        }
        case "EXEC" -> {
          String kind = prepared.get(words[1]);
          if (kind == null) {
            return "ERR NOSTMT " + words[1] + "\r\n";
          }
          return readOrWrite(requestId, statement, kind.equals("WRITE"), words[2],
              words.length > 3 ? words[3] : "");
        }
        default -> {
          String[] parts = statement.split(" ", 3);
          return readOrWrite(requestId, statement, parts[0].equals("WRITE"), parts[1],
              parts.length > 2 ? parts[2] : "");
        }
      }
    }

    private String readOrWrite(
        String requestId, String statement, boolean write, String item, String value)
        throws InterruptedException {
      Thread.sleep(2);
      boolean needsLead = write || (state.equals("T") && mayWrite);
      if (needsLead && !leads()) {
        state = state.equals("T") ? "E" : state;
        return "ERR READONLY " + member.id + "\r\n";
      }
      member.onRun.accept(requestId, statement);
      if (!write) {
        return "ROW " + read(item) + "\r\n" + done();
      }
      String[] entry = {item, value};
      if (state.equals("T")) {
        writes.add(entry);
      } else if (!commit(member, List.<String[]>of(entry))) {
        Thread.sleep(60_000);
      }
      return done();
    }

    private String read(String item) {
      synchronized (Database.this) {
        for (int index = member.entries.size() - 1; index >= 0; index--) {
          if (member.entries.get(index).item.equals(item)) {
            return member.entries.get(index).value;
          }
        }
        return "nothing";
      }
    }

    private String done() {
      synchronized (Database.this) {
        return "DONE mac" + ++macs + "\r\n";
      }
    }
  }
}
