package org.hickoryshed.standin.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;

/**
 * The state of a member: its term, role, log and applied objects. It executes the orders of
 * failover processes and makes no decisions of its own.
 *
 * <p>All methods are safe for use by several threads except {@link #objects()}. Threads that wait
 * for entries are notified when the log, the term or the role changes.
 */
final class MemberState {

  private final String name;

  private final List<LogEntry> log = new ArrayList<>();

  /**
   * The time in milliseconds at which each entry was received, zero for entries of this primary.
   */
  private final List<Long> receivedAt = new ArrayList<>();

  private final AppliedObjects objects = new AppliedObjects();

  private Role role = Role.SEALED;

  /** The highest term that this member knows; orders of a lower term are refused. */
  private long term;

  /** The number of applied entries, counted from the start of the log. */
  private long applied;

  /** The name of the primary of the term, empty while it is not known. */
  private Optional<String> primary = Optional.empty();

  /** The address of the primary that this replica follows, empty in other roles. */
  private Optional<String> primaryAddress = Optional.empty();

  MemberState(String name) {
    this.name = name;
  }

  synchronized MemberStatus status() {
    return new MemberStatus(name, role, term, logTerm(), log.size(), applied, primary);
  }

  /**
   * Seals this member: it leaves its role and refuses all lower terms.
   *
   * @param newTerm The term, refused unless it is higher than the known one.
   * @return {@code true} if the seal was granted.
   */
  synchronized boolean seal(long newTerm) {
    if (newTerm <= term) {
      return false;
    }
    changeRole(newTerm, Role.SEALED, Optional.empty(), Optional.empty());
    return true;
  }

  /**
   * Makes this member the primary of a term that it has granted by a seal. A repeated order
   * succeeds without an effect.
   *
   * @param newTerm The sealed term.
   * @return {@code true} if this member is the primary of the term.
   */
  synchronized boolean promote(long newTerm) {
    if (term != newTerm || role == Role.REPLICA) {
      return false;
    }
    if (role == Role.SEALED) {
      changeRole(newTerm, Role.PRIMARY, Optional.of(name), Optional.empty());
      append(new LogEntry(term, List.of(), Optional.empty(), false));
    }
    return true;
  }

  /**
   * Makes this member a replica of a primary.
   *
   * @param newTerm The term of the primary, refused if it is lower than the known one.
   * @param newPrimary The name of the primary.
   * @param address The address of the primary.
   * @return {@code true} if this member follows the primary.
   */
  synchronized boolean follow(long newTerm, String newPrimary, String address) {
    if (newTerm < term || newPrimary.equals(name) || (newTerm == term && role == Role.PRIMARY)) {
      return false;
    }
    changeRole(newTerm, Role.REPLICA, Optional.of(newPrimary), Optional.of(address));
    return true;
  }

  private void changeRole(
      long newTerm, Role newRole, Optional<String> newPrimary, Optional<String> address) {
    term = newTerm;
    role = newRole;
    primary = newPrimary;
    primaryAddress = address;
    notifyAll();
  }

  /**
   * Appends an entry as primary and applies it at once.
   *
   * @param entry The entry.
   * @return The index of the entry; the first entry has index one.
   */
  synchronized long append(LogEntry entry) {
    log.add(entry);
    receivedAt.add(0L);
    applyUpTo(log.size());
    notifyAll();
    return log.size();
  }

  /**
   * Appends replicated entries, unless the term or the log has changed since they were requested.
   *
   * @param primaryTerm The term of the primary that sent the entries.
   * @param from The number of entries that the log held at the request.
   * @param entries The entries.
   * @param now The current time in milliseconds.
   */
  synchronized void receive(long primaryTerm, long from, List<LogEntry> entries, long now) {
    if (role != Role.REPLICA || term != primaryTerm || log.size() != from) {
      return;
    }
    for (LogEntry entry : entries) {
      log.add(entry);
      receivedAt.add(now);
    }
  }

  /**
   * Removes entries that the primary does not have. If some of them were applied, the objects are
   * built anew from the remaining log.
   *
   * @param primaryTerm The term of the primary.
   * @param length The largest number of entries to keep.
   */
  synchronized void truncate(long primaryTerm, long length) {
    if (role != Role.REPLICA || term != primaryTerm || length >= log.size()) {
      return;
    }
    log.subList((int) length, log.size()).clear();
    receivedAt.subList((int) length, receivedAt.size()).clear();
    if (applied > length) {
      objects.clear();
      applied = 0;
      applyUpTo(length);
    }
  }

  /**
   * Applies the replicated entries that were received up to a time.
   *
   * @param receivedBefore The time in milliseconds.
   */
  synchronized void applyReceived(long receivedBefore) {
    long target = applied;
    while (target < log.size() && receivedAt.get((int) target) <= receivedBefore) {
      target++;
    }
    applyUpTo(target);
  }

  /**
   * Answers a replication request as primary. Waits if the replica already holds the whole log.
   *
   * @param request The state of the replica.
   * @param waitMillis The longest time to wait for entries in milliseconds.
   * @param limit The largest number of entries to return.
   * @return The entries, none after the wait, or the length to which the replica must truncate its
   *     log.
   * @throws InterruptedException If the wait is interrupted.
   */
  synchronized Pulled pull(ReplicationRequest request, long waitMillis, int limit)
      throws InterruptedException {
    long end = System.currentTimeMillis() + waitMillis;
    while (true) {
      if (role != Role.PRIMARY || term != request.term()) {
        return new Pulled(false, -1, List.of());
      }
      if (request.held() > log.size() || termAt(request.held()) != request.lastTerm()) {
        return new Pulled(true, Math.min(request.held() - 1, log.size()), List.of());
      }
      int from = (int) request.held();
      long remaining = end - System.currentTimeMillis();
      if (from < log.size() || remaining <= 0) {
        int to = Math.min(log.size(), from + limit);
        return new Pulled(true, -1, List.copyOf(log.subList(from, to)));
      }
      wait(remaining);
    }
  }

  /**
   * Returns the next replication request of this member.
   *
   * @return The request, empty unless this member is a replica.
   */
  synchronized Optional<ReplicationRequest> replicationRequest() {
    return role == Role.REPLICA
        ? Optional.of(
            new ReplicationRequest(term, log.size(), logTerm(), primaryAddress.orElseThrow()))
        : Optional.empty();
  }

  synchronized boolean isPrimary() {
    return role == Role.PRIMARY;
  }

  synchronized long term() {
    return term;
  }

  /** Returns the applied objects. The caller must hold the monitor of this state. */
  AppliedObjects objects() {
    return objects;
  }

  private void applyUpTo(long target) {
    while (applied < target) {
      objects.apply(applied + 1, log.get((int) applied));
      applied++;
    }
  }

  /** Returns the term of the last entry, zero if the log is empty. */
  private long logTerm() {
    return termAt(log.size());
  }

  /** Returns the term of the entry at an index, zero for index zero (before the first entry). */
  private long termAt(long index) {
    return index == 0 ? 0 : log.get((int) index - 1).term();
  }

  /**
   * The state of a replica that requests entries.
   *
   * @param term The term of the primary that the replica follows.
   * @param held The number of entries in the log of the replica.
   * @param lastTerm The term of the last of these entries, zero if there is none.
   * @param address The address of the primary; an empty text when a primary answers the request.
   */
  record ReplicationRequest(long term, long held, long lastTerm, String address) {}

  /**
   * The response to a replication request.
   *
   * @param accepted {@code false} if the receiver is not the primary of the requested term.
   * @param truncateTo The length to which the replica must truncate its log before it asks again,
   *     or a negative number if its log matches.
   * @param entries The entries that follow in the log.
   */
  record Pulled(boolean accepted, long truncateTo, List<LogEntry> entries) {}
}
