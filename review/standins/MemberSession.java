import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * One connection to a member. Lines reach it, and leave it, with the delay of the link between the
 * zones of the proxy and of the member.
 */
final class MemberSession {

  private record Timed(long at, String text, boolean end) {}

  private final Member member;
  private final Database database;
  private final Socket socket;
  private final boolean refused;
  private final BlockingQueue<Timed> input = new LinkedBlockingQueue<>();
  private final BlockingQueue<Timed> output = new LinkedBlockingQueue<>();
  private final Map<String, String> values = new HashMap<>();

  /** The access and shape of each prepared statement. */
  private final Map<String, String[]> prepared = new HashMap<>();

  private final List<String> writes = new ArrayList<>();
  private double oneWayMillis;
  private String state = "I";
  private boolean plain;
  private boolean opened;
  private final long openedAt = System.nanoTime();

  MemberSession(Member member, Socket socket, boolean refused) {
    this.member = member;
    this.database = member.database;
    this.socket = socket;
    this.refused = refused;
  }

  void run() {
    Thread.ofVirtual().start(this::readLines);
    Thread.ofVirtual().start(this::writeLines);
    try {
      for (Timed next = input.take(); !next.end; next = input.take()) {
        waitUntil(next.at);
        if (isSilent()) {
          continue;
        }
        if (!serve(next.text)) {
          break;
        }
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    output.add(new Timed(due(), "", true));
  }

  private void readLines() {
    try (BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1))) {
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.startsWith("START ")) {
          String zone = database.proxyZones.get(line.split(" ")[2]);
          oneWayMillis = zone == null ? 0 : database.spec.zones().oneWay(zone, member.zone);
        }
        input.add(new Timed(due(), line, false));
      }
    } catch (IOException exception) {
      // The connection ended.
    }
    input.add(new Timed(due(), "", true));
  }

  private void writeLines() {
    try (socket) {
      for (Timed next = output.take(); !next.end; next = output.take()) {
        waitUntil(next.at);
        socket.getOutputStream().write(next.text.getBytes(StandardCharsets.ISO_8859_1));
      }
    } catch (IOException exception) {
      // The connection ended.
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private boolean isSilent() {
    return openedAt - member.silentBefore < 0 && member.silentBefore != Long.MIN_VALUE;
  }

  private long due() {
    return System.nanoTime() + (long) (oneWayMillis * 1_000_000);
  }

  private static void waitUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
    }
  }

  /** Serves one line; false if the connection is to be closed. */
  private boolean serve(String line) throws InterruptedException {
    String[] words = line.split(" ", 3);
    if (words[0].equals("BYE")) {
      return false;
    }
    if (!opened) {
      return words[0].equals("START") && start(line.split(" "));
    }
    if (!words[0].equals("QUERY") || words.length < 3) {
      return false;
    }
    String outcome = respond(words[1], words[2]);
    if (outcome.contains("DONE ") && member.cutBehindOutcome.test(words[2])) {
      database.record.line("%s: response to %s cut off behind DONE", member.id, words[1]);
      output.add(new Timed(due(), outcome, false));
      return false;
    }
    output.add(new Timed(due(), outcome + ready(), false));
    return member.isRunning();
  }

  private boolean start(String[] words) throws InterruptedException {
    if (refused) {
      output.add(new Timed(due(), "ERR TOOMANY connections\r\n", false));
      return false;
    }
    boolean wrong =
        !words[1].equals(database.spec.service())
            || (words.length > 3 && !words[3].equals(member.id));
    if (wrong) {
      output.add(new Timed(due(), "ERR MISDIRECT " + member.id + "\r\n", false));
      return false;
    }
    member.work(database.spec.handshakeMillis());
    opened = true;
    output.add(new Timed(due(), ready(), false));
    return true;
  }

  private String ready() {
    return "READY " + state + " " + database.term() + "." + database.visible(member) + "\r\n";
  }

  private String respond(String id, String text) throws InterruptedException {
    String statement = text;
    if (text.startsWith("AFTER ")) {
      String[] parts = text.split(" ", 3);
      String[] position = parts[1].split("\\.");
      if (!database.holds(member, Long.parseLong(position[0]), Long.parseLong(position[1]))) {
        return error("LAGGING");
      }
      statement = parts[2];
    }
    String[] words = statement.split(" ", 4);
    if (state.equals("E") && !words[0].equals("ROLLBACK")) {
      return "ERR MALFORMED failed\r\n";
    }
    boolean lostLead = state.equals("T") && plain && !database.isPrimary(member);
    return switch (words[0]) {
      case "BEGIN" -> begin(words.length == 1);
      case "ROLLBACK" -> {
        endTransaction();
        yield "DONE -\r\n";
      }
      case "COMMIT" -> commit(id, lostLead);
      case "STATUS" -> status();
      case "RESET" -> {
        values.clear();
        prepared.clear();
        yield "DONE -\r\n";
      }
      case "SET", "PREPARE", "DEALLOC" ->
          lostLead ? failTransaction("READONLY") : settle(words, statement);
      case "READ", "WRITE", "EXEC" -> readOrWrite(id, statement, words, lostLead);
      default -> "ERR MALFORMED statement\r\n";
    };
  }

  private String settle(String[] words, String statement) {
    switch (words[0]) {
      case "SET" -> values.put(words[1], statement.substring(5 + words[1].length()));
      case "PREPARE" -> prepared.put(words[1], new String[] {words[2], words[3]});
      default -> prepared.remove(words[1]);
    }
    return "DONE -\r\n";
  }

  private String begin(boolean mayWrite) {
    if (mayWrite && !database.isPrimary(member)) {
      return error("READONLY");
    }
    plain = mayWrite;
    state = "T";
    return "DONE -\r\n";
  }

  private String commit(String id, boolean lostLead) throws InterruptedException {
    if (!state.equals("T")) {
      return "ERR MALFORMED no transaction\r\n";
    }
    if (lostLead && !writes.isEmpty()) {
      endTransaction();
      return error("READONLY");
    }
    if (!member.work(0.5)) {
      return error("BUSY");
    }
    long number = 0;
    if (!writes.isEmpty()) {
      number = database.commit(member, List.copyOf(writes));
      if (number == 0) {
        endTransaction();
        return error("READONLY");
      }
    }
    String proof = proof(id, "COMMIT", database.visible(member), number);
    endTransaction();
    return "DONE " + proof + "\r\n";
  }

  private String readOrWrite(String id, String statement, String[] words, boolean lostLead)
      throws InterruptedException {
    String access = words[0];
    String data = words.length > 2 ? statement.split(" ", 3)[2] : "";
    if (words[0].equals("EXEC")) {
      String[] known = prepared.get(words[1]);
      if (known == null) {
        return state.equals("T") ? failTransaction("NOSTMT") : error("NOSTMT");
      }
      access = known[0];
      data = words.length > 3 ? words[3] : "";
    }
    boolean write = access.equals("WRITE");
    if (lostLead || (write && !database.isPrimary(member))) {
      return state.equals("T") ? failTransaction("READONLY") : error("READONLY");
    }
    if (!member.work(database.spec.workMillis())) {
      return error("BUSY");
    }
    if (!write) {
      long visible = database.visible(member);
      return "ROW " + visible + "\r\nDONE " + proof(id, statement, visible, 0) + "\r\n";
    }
    long number = 0;
    if (state.equals("T")) {
      writes.add(data);
    } else {
      number = database.commit(member, List.of(data));
      if (number == 0) {
        return error("READONLY");
      }
    }
    return "DONE " + proof(id, statement, database.visible(member), number) + "\r\n";
  }

  private String proof(String id, String text, long visible, long commit) {
    return member.proof(new Member.Run(id, text, member.id, visible, commit));
  }

  private String status() throws InterruptedException {
    if (!member.work(0.5)) {
      return error("BUSY");
    }
    long term = database.term();
    return "ROW %s %d %d.%d 0 0 %d %d\r\nDONE -\r\n"
        .formatted(
            database.isPrimary(member) ? "primary" : "replica",
            term,
            term,
            database.received(member),
            member.busySlots(),
            member.connections());
  }

  private void endTransaction() {
    state = "I";
    writes.clear();
  }

  private String failTransaction(String code) {
    state = "E";
    writes.clear();
    return error(code);
  }

  private String error(String code) {
    return "ERR " + code + " " + member.id + "\r\n";
  }
}
