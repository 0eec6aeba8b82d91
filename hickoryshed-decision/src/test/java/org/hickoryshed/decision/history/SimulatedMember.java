package org.hickoryshed.decision.history;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;

/**
 * A simulated database member. It carries out the requests of the replication protocol and makes no
 * decisions of its own.
 */
final class SimulatedMember {

  final String name;
  final List<Entry> log = new ArrayList<>();
  Role role = Role.SEALED;
  long term;
  int applied;
  SimulatedMember primary;

  SimulatedMember(String name) {
    this.name = name;
  }

  MemberStatus status() {
    return new MemberStatus(
        name,
        role,
        term,
        termAt(log.size()),
        log.size(),
        applied,
        Optional.ofNullable(primary).map(member -> member.name));
  }

  boolean seal(long newTerm) {
    if (newTerm <= term) {
      return false;
    }
    term = newTerm;
    role = Role.SEALED;
    primary = null;
    return true;
  }

  boolean promote(long newTerm) {
    if (term != newTerm || role != Role.SEALED) {
      return false;
    }
    role = Role.PRIMARY;
    primary = this;
    append(0);
    return true;
  }

  void follow(long newTerm, SimulatedMember newPrimary) {
    if (newTerm < term || newPrimary == this || (newTerm == term && role == Role.PRIMARY)) {
      return;
    }
    term = newTerm;
    role = Role.REPLICA;
    primary = newPrimary;
  }

  int append(int write) {
    log.add(new Entry(term, write));
    applied = log.size();
    return log.size();
  }

  /** Copies the next entry of the primary, or truncates an entry that the primary does not hold. */
  void pull() {
    if (role != Role.REPLICA || primary.role != Role.PRIMARY || primary.term != term) {
      return;
    }
    int held = log.size();
    if (held > primary.log.size() || primary.termAt(held) != termAt(held)) {
      log.removeLast();
      applied = Math.min(applied, log.size());
    } else if (held < primary.log.size()) {
      log.add(primary.log.get(held));
    }
  }

  boolean holds(int write) {
    return log.stream().anyMatch(entry -> entry.write() == write);
  }

  boolean hasApplied(int write) {
    return log.subList(0, applied).stream().anyMatch(entry -> entry.write() == write);
  }

  long termAt(int index) {
    return index == 0 ? 0 : log.get(index - 1).term();
  }

  /**
   * A log entry.
   *
   * @param term The term of the entry.
   * @param write The number of the write, zero for the entry that a primary appends when its term
   *     starts.
   */
  record Entry(long term, int write) {}
}
