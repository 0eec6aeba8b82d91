import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * One database: its log, its term, its primary and what each member has received and applied.
 *
 * <p>A commit gets the next number. Each replica receives it after the delay of its link and
 * applies it later. A promotion takes effect after a fixed time: the named member then leads the
 * next term with what it has received, the others are rolled back to that.
 */
final class Database implements AutoCloseable {

  /** What is fixed for a database. */
  record Spec(
      String service,
      int syncReplicas,
      int maxConnections,
      int slots,
      int queue,
      double handshakeMillis,
      double workMillis,
      double lagMillis,
      double promoteMillis,
      Zones zones) {}

  /** A commit: its number, the values that it wrote. */
  record Commit(long number, List<String> values) {}

  /** A commit that a promotion rolled back. */
  record RolledBack(Commit commit, String promoted) {}

  private static final ScheduledExecutorService TIMERS =
      Executors.newScheduledThreadPool(
          4,
          task -> {
            Thread thread = new Thread(task, "timers");
            thread.setDaemon(true);
            return thread;
          });

  final Spec spec;
  final Store store;
  final Record record;

  /** The zone of each proxy by its name. */
  final Map<String, String> proxyZones;

  private final Map<String, Member> members = new LinkedHashMap<>();
  private final List<Commit> log = new ArrayList<>();

  /** The number of commits that each term began with. */
  private final Map<Long, Long> termStarts = new HashMap<>();

  private final List<RolledBack> rolledBack = new ArrayList<>();
  private long term = 3;
  private String primary = "";

  Database(Spec spec, Store store, Record record, Map<String, String> proxyZones) {
    this.spec = spec;
    this.store = store;
    this.record = record;
    this.proxyZones = proxyZones;
    termStarts.put(term, 0L);
  }

  /** Adds a member with a copy of the log; the first one is the primary. */
  synchronized Member add(String id, String zone) {
    Member member = new Member(this, id, zone);
    member.received = log.size();
    member.applied = log.size();
    members.put(id, member);
    if (primary.isEmpty()) {
      primary = id;
    }
    member.register();
    return member;
  }

  /** Removes the entry of a member that ended. */
  synchronized void remove(Member member) {
    members.remove(member.id);
    store.remove("servers", member.id);
  }

  synchronized Member member(String id) {
    return members.get(id);
  }

  synchronized Member primary() {
    return members.get(primary);
  }

  synchronized boolean isPrimary(Member member) {
    return member.id.equals(primary);
  }

  synchronized long term() {
    return term;
  }

  synchronized List<RolledBack> rolledBack() {
    return List.copyOf(rolledBack);
  }

  /** Returns how many commits a member shows to reads. */
  synchronized long visible(Member member) {
    return isPrimary(member) ? log.size() : member.applied;
  }

  synchronized long received(Member member) {
    return isPrimary(member) ? log.size() : member.received;
  }

  /** Checks if the log of a member, as it shows it to reads, holds a position. */
  synchronized boolean holds(Member member, long ofTerm, long number) {
    for (long later = ofTerm + 1; later <= term; later++) {
      if (number > termStarts.getOrDefault(later, Long.MAX_VALUE)) {
        return false;
      }
    }
    return ofTerm <= term && number <= visible(member);
  }

  /**
   * Commits writes at a member and waits until as many replicas have received them as the service
   * asks for.
   *
   * @return The number of the commit, or 0 if the member is not the primary (any more) and nothing
   *     is kept.
   */
  long commit(Member member, List<String> values) throws InterruptedException {
    Commit commit;
    synchronized (this) {
      if (!isPrimary(member) || !member.isRunning()) {
        return 0;
      }
      commit = new Commit(log.size() + 1L, values);
      log.add(commit);
      replicate(member, commit.number);
    }
    if (spec.syncReplicas > 0) {
      String acknowledging = awaitReceived(member, commit);
      if (acknowledging.isEmpty()) {
        return 0;
      }
      // The replica's confirmation travels back.
      pause(spec.zones.oneWay(member(acknowledging).zone, member.zone));
    }
    synchronized (this) {
      return holdsCommit(commit) ? commit.number : 0;
    }
  }

  private synchronized String awaitReceived(Member member, Commit commit)
      throws InterruptedException {
    while (holdsCommit(commit)) {
      for (Member other : members.values()) {
        if (other != member && other.isRunning() && other.received >= commit.number) {
          return other.id;
        }
      }
      wait(1000);
    }
    return "";
  }

  private boolean holdsCommit(Commit commit) {
    return log.size() >= commit.number && log.get((int) commit.number - 1) == commit;
  }

  /** Sends the log up to a number to all replicas. */
  private void replicate(Member from, long number) {
    long ofTerm = term;
    for (Member other : members.values()) {
      if (other != from) {
        later(
            spec.zones.oneWay(from.zone, other.zone), () -> onReceived(other, ofTerm, number));
      }
    }
  }

  private synchronized void onReceived(Member member, long ofTerm, long number) {
    if (ofTerm != term || !member.isRunning() || member.deaf) {
      return;
    }
    member.received = Math.max(member.received, number);
    notifyAll();
    later(spec.lagMillis, () -> onApplied(member, ofTerm, number));
  }

  private synchronized void onApplied(Member member, long ofTerm, long number) {
    if (ofTerm == term && number <= member.received) {
      member.applied = Math.max(member.applied, number);
    }
  }

  /** Accepts a promotion, which takes effect later. */
  synchronized boolean promote(String id) {
    Member next = members.get(id);
    if (next == null || !next.isRunning()) {
      return false;
    }
    if (!id.equals(primary)) {
      later(spec.promoteMillis, () -> lead(next));
    }
    return true;
  }

  private synchronized void lead(Member next) {
    if (isPrimary(next) || !next.isRunning()) {
      return;
    }
    Member replaced = primary();
    if (replaced != null) {
      replaced.received = log.size();
      replaced.applied = log.size();
    }
    term++;
    primary = next.id;
    long kept = next.received;
    while (log.size() > kept) {
      Commit lost = log.removeLast();
      rolledBack.add(new RolledBack(lost, next.id));
      record.line("%s: commit %d %s rolled back", spec.service, lost.number, lost.values);
    }
    termStarts.put(term, kept);
    next.applied = kept;
    for (Member other : members.values()) {
      other.received = Math.min(other.received, kept);
      other.applied = Math.min(other.applied, kept);
      other.register();
    }
    record.line(
        "%s: %s leads term %d with %d commits; the others had received %s",
        spec.service, next.id, term, kept, positions());
    replicate(next, kept);
    notifyAll();
  }

  private String positions() {
    StringBuilder text = new StringBuilder();
    members.values().forEach(m -> text.append(m.id).append('=').append(m.received).append(' '));
    return text.toString().trim();
  }

  @Override
  public synchronized void close() {
    members.values().forEach(Member::stop);
  }

  static void later(double millis, Runnable task) {
    TIMERS.schedule(task, (long) (millis * 1000), TimeUnit.MICROSECONDS);
  }

  static void pause(double millis) throws InterruptedException {
    if (millis > 0) {
      Thread.sleep((long) millis, (int) ((millis - Math.floor(millis)) * 1_000_000));
    }
  }
}
