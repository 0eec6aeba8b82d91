package org.hickoryshed.standin.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;

/** The state of a member: its term, role, log and applied objects. It has no policy of its own. */
final class MemberState {

  /** The name of the member. */
  private final String name;

  /** The log. */
  private final List<LogEntry> log = new ArrayList<>();

  /** The times in milliseconds at which the entries were received. */
  private final List<Long> receivedAt = new ArrayList<>();

  /** The applied objects. */
  private final AppliedObjects objects = new AppliedObjects();

  /** The role. */
  private Role role = Role.SEALED;

  /** The term below which everything is refused. */
  private long term;

  /** The number of applied entries. */
  private long applied;

  /** The name of the primary that is followed. */
  private Optional<String> primary = Optional.empty();

  /** The address of the primary that is followed. */
  private Optional<String> primaryAddress = Optional.empty();

  /**
   * Creates a new state.
   *
   * @param name The name of the member.
   */
  MemberState(String name) {
    this.name = name;
  }

  /**
   * Returns the status.
   *
   * @return The status.
   */
  synchronized MemberStatus status() {
    return new MemberStatus(name, role, term, logTerm(), log.size(), applied, primary);
  }

  /**
   * Seals this member.
   *
   * @param newTerm The term, granted only if it is higher than all before.
   * @return {@code true} if the seal was granted.
   */
  synchronized boolean seal(long newTerm) {
    if (newTerm <= term) {
      return false;
    }
    become(newTerm, Role.SEALED, Optional.empty(), Optional.empty());
    return true;
  }

  /**
   * Promotes this member.
   *
   * @param newTerm The term that was sealed.
   * @return {@code true} if this member is the primary of the term.
   */
  synchronized boolean promote(long newTerm) {
    if (term != newTerm || role == Role.REPLICA) {
      return false;
    }
    if (role == Role.SEALED) {
      become(newTerm, Role.PRIMARY, Optional.of(name), Optional.empty());
      append(new LogEntry(term, List.of(), Optional.empty(), false));
    }
    return true;
  }

  /**
   * Follows a primary.
   *
   * @param newTerm The term of the primary.
   * @param newPrimary The name of the primary.
   * @param address The address of the primary.
   * @return {@code true} if the primary is followed.
   */
  synchronized boolean follow(long newTerm, String newPrimary, String address) {
    if (newTerm < term || newPrimary.equals(name) || (newTerm == term && role == Role.PRIMARY)) {
      return false;
    }
    become(newTerm, Role.REPLICA, Optional.of(newPrimary), Optional.of(address));
    return true;
  }

  /**
   * Changes term and role.
   *
   * @param newTerm The term.
   * @param newRole The role.
   * @param newPrimary The name of the primary.
   * @param address The address of the primary.
   */
  private void become(
      long newTerm, Role newRole, Optional<String> newPrimary, Optional<String> address) {
    term = newTerm;
    role = newRole;
    primary = newPrimary;
    primaryAddress = address;
    notifyAll();
  }

  /**
   * Appends an entry as primary and applies it.
   *
   * @param entry The entry.
   * @return The index of the entry.
   */
  synchronized long append(LogEntry entry) {
    log.add(entry);
    receivedAt.add(0L);
    applyUpTo(log.size());
    notifyAll();
    return log.size();
  }

  /**
   * Appends entries of the primary unless its term ended in the meantime.
   *
   * @param source The term of the primary.
   * @param from The index before the entries.
   * @param entries The entries.
   * @param now The current time in milliseconds.
   */
  synchronized void receive(long source, long from, List<LogEntry> entries, long now) {
    if (role != Role.REPLICA || term != source || log.size() != from) {
      return;
    }
    for (LogEntry entry : entries) {
      log.add(entry);
      receivedAt.add(now);
    }
  }

  /**
   * Cuts off entries that the primary does not have.
   *
   * @param source The term of the primary.
   * @param length The number of entries to keep at most.
   */
  synchronized void truncate(long source, long length) {
    if (role != Role.REPLICA || term != source || length >= log.size()) {
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
   * Applies the entries that were received long enough ago.
   *
   * @param receivedBefore The time in milliseconds up to which received entries are applied.
   */
  synchronized void applyReceived(long receivedBefore) {
    long target = applied;
    while (target < log.size() && receivedAt.get((int) target) <= receivedBefore) {
      target++;
    }
    applyUpTo(target);
  }

  /**
   * Returns entries for a replica and waits for some if there are none.
   *
   * @param follower What the replica holds.
   * @param waitMillis The longest time to wait in milliseconds.
   * @param limit The largest number of entries.
   * @return The entries or how many the replica must cut off.
   * @throws InterruptedException If the wait is interrupted.
   */
  synchronized Pulled pull(Follower follower, long waitMillis, int limit)
      throws InterruptedException {
    long end = System.currentTimeMillis() + waitMillis;
    while (true) {
      if (role != Role.PRIMARY || term != follower.term()) {
        return new Pulled(false, -1, List.of());
      }
      if (follower.held() > log.size() || termAt(follower.held()) != follower.lastTerm()) {
        return new Pulled(true, Math.min(follower.held() - 1, log.size()), List.of());
      }
      int from = (int) follower.held();
      long rest = end - System.currentTimeMillis();
      if (from < log.size() || rest <= 0) {
        int to = Math.min(log.size(), from + limit);
        return new Pulled(true, -1, List.copyOf(log.subList(from, to)));
      }
      wait(rest);
    }
  }

  /**
   * Returns what this member holds, if it follows a primary.
   *
   * @return What this member holds or an empty optional.
   */
  synchronized Optional<Follower> follower() {
    return role == Role.REPLICA
        ? Optional.of(new Follower(term, log.size(), logTerm(), primaryAddress.orElseThrow()))
        : Optional.empty();
  }

  /**
   * Checks if this member takes writes.
   *
   * @return {@code true} if this member is primary.
   */
  synchronized boolean isPrimary() {
    return role == Role.PRIMARY;
  }

  /**
   * Returns the term.
   *
   * @return The term.
   */
  synchronized long term() {
    return term;
  }

  /**
   * Returns the applied objects, to be used under the monitor of this state.
   *
   * @return The applied objects.
   */
  AppliedObjects objects() {
    return objects;
  }

  /**
   * Applies entries.
   *
   * @param target The number of entries to have applied.
   */
  private void applyUpTo(long target) {
    while (applied < target) {
      objects.apply(applied + 1, log.get((int) applied));
      applied++;
    }
  }

  /**
   * Returns the term of the last entry.
   *
   * @return The term of the last entry or zero.
   */
  private long logTerm() {
    return termAt(log.size());
  }

  /**
   * Returns the term of an entry.
   *
   * @param index The index of the entry.
   * @return The term of the entry, zero before the first.
   */
  private long termAt(long index) {
    return index == 0 ? 0 : log.get((int) index - 1).term();
  }

  /**
   * What a replica holds.
   *
   * @param term The term that the replica follows.
   * @param held The number of entries of the replica.
   * @param lastTerm The term of the last entry of the replica.
   * @param address The address of the primary.
   */
  record Follower(long term, long held, long lastTerm, String address) {}

  /**
   * Entries for a replica.
   *
   * @param accepted {@code false} if this member is not the primary of the replica's term.
   * @param truncateTo The number of entries to keep, or a negative number to keep all.
   * @param entries The entries that follow.
   */
  record Pulled(boolean accepted, long truncateTo, List<LogEntry> entries) {}
}
