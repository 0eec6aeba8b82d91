package org.hickoryshed.decision.history;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.IntStream;
import org.hickoryshed.decision.failover.Promotion;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;

/**
 * A simulated random history of one database: writes, replication, reads, and failovers in which
 * two candidates may act at once and observers may have outdated statuses.
 *
 * <p>Each step lets one randomly chosen process act. A process that is not chosen for many steps
 * behaves like one that is frozen or cut off from the network.
 */
final class RandomHistory {

  private static final int CANDIDATES = 2;
  private static final int OBSERVERS = 2;

  private final DecisionRules rules;
  private final RandomGenerator random;
  private final List<SimulatedMember> members =
      IntStream.rangeClosed(1, DecisionRules.MEMBERS)
          .mapToObj(number -> new SimulatedMember("a-" + number))
          .toList();
  private final List<Map<String, MemberStatus>> observers = new ArrayList<>();
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<Write> pending = new ArrayList<>();
  private final List<Write> acknowledged = new ArrayList<>();
  private final List<Barrier> barriers = new ArrayList<>();
  private final List<String> steps = new ArrayList<>();
  private int latestWrite;

  RandomHistory(DecisionRules rules, long seed) {
    this.rules = rules;
    random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
    for (int number = 0; number < OBSERVERS; number++) {
      observers.add(new HashMap<>());
    }
    for (int number = 0; number < CANDIDATES; number++) {
      attempts.add(new Attempt(1 + number));
    }
  }

  /** Runs random steps and returns the first violation, if any, with the steps that led to it. */
  Optional<String> run(int length) {
    for (int step = 0; step < length; step++) {
      Optional<String> violation = step();
      if (violation.isPresent()) {
        return Optional.of(violation.get() + " after " + steps);
      }
    }
    return promoteInHealthyDatabase().map(violation -> violation + " after " + steps);
  }

  /** Promotes a member at the end of the history, when every member can be sealed. */
  private Optional<String> promoteInHealthyDatabase() {
    long highest = members.stream().mapToLong(member -> member.term).max().orElseThrow();
    Attempt attempt = new Attempt(Promotion.nextTerm(highest));
    for (SimulatedMember member : members) {
      member.seal(attempt.term);
      attempt.sealed.add(member.status());
    }
    return promote(attempt);
  }

  int acknowledgedWrites() {
    return acknowledged.size();
  }

  private Optional<String> step() {
    return switch (random.nextInt(20)) {
      case 0, 1, 2 -> write();
      case 3, 4, 5, 6, 7 -> pull();
      case 8, 9 -> observe();
      case 10, 11 -> acknowledge();
      case 12, 13 -> candidate();
      case 14 -> apply();
      case 15 -> requestBarrier();
      case 16, 17 -> readAtBarrier();
      default -> readOfSession();
    };
  }

  private Optional<String> write() {
    SimulatedMember member = anyMember();
    if (member.role == Role.PRIMARY) {
      int write = ++latestWrite;
      int index = member.append(write);
      pending.add(new Write(write, new LogPosition(member.term, index)));
      recordStep("write " + write + " at " + member.name);
    }
    return Optional.empty();
  }

  private Optional<String> pull() {
    SimulatedMember member = anyMember();
    member.pull();
    recordStep("pull " + member.name + "=" + member.log.size());
    return Optional.empty();
  }

  private Optional<String> apply() {
    SimulatedMember member = anyMember();
    member.applied += random.nextInt(member.log.size() - member.applied + 1);
    recordStep("apply " + member.name + "=" + member.applied);
    return Optional.empty();
  }

  private Optional<String> observe() {
    SimulatedMember member = anyMember();
    int observer = random.nextInt(OBSERVERS);
    observers.get(observer).put(member.name, member.status());
    barriers.forEach(barrier -> barrier.fresh.put(member.name, member.status()));
    recordStep("observe " + member.name);
    return Optional.empty();
  }

  private Optional<String> acknowledge() {
    Map<String, MemberStatus> statuses = observers.get(random.nextInt(OBSERVERS));
    List<Write> confirmed =
        pending.stream()
            .filter(write -> rules.confirms().test(write.position(), statuses.values()))
            .toList();
    pending.removeAll(confirmed);
    acknowledged.addAll(confirmed);
    confirmed.forEach(write -> recordStep("acknowledge " + write.number()));
    return Optional.empty();
  }

  private Optional<String> candidate() {
    Attempt attempt = attempts.get(random.nextInt(CANDIDATES));
    SimulatedMember member = anyMember();
    if (attempt.promoted != null) {
      member.follow(attempt.term, attempt.promoted);
      recordStep("follow " + member.name + " " + attempt.promoted.name);
      if (random.nextInt(6) == 0) {
        attempt.restart(Promotion.nextTerm(highestTermSeen()));
      }
      return Optional.empty();
    }
    if (random.nextInt(3) == 0) {
      return promote(attempt);
    }
    if (member.seal(attempt.term)) {
      attempt.sealed.add(member.status());
      recordStep("seal " + member.name + " in term " + attempt.term);
    } else if (random.nextInt(4) == 0) {
      attempt.restart(Promotion.nextTerm(highestTermSeen()));
    }
    return Optional.empty();
  }

  private Optional<String> promote(Attempt attempt) {
    Optional<MemberStatus> chosen = rules.chooses().choose(attempt.sealed);
    if (chosen.isEmpty()) {
      return Optional.empty();
    }
    SimulatedMember successor =
        members.stream()
            .filter(member -> member.name.equals(chosen.get().member()))
            .findFirst()
            .orElseThrow();
    if (!successor.promote(attempt.term)) {
      attempt.restart(Promotion.nextTerm(highestTermSeen()));
      return Optional.empty();
    }
    attempt.promoted = successor;
    recordStep("promote " + successor.name + " in term " + attempt.term);
    // A slow candidate may promote in a term that a majority has left already. Such a primary gets
    // no write confirmed, so it is allowed to lack the writes of later terms.
    return acknowledged.stream()
        .filter(write -> write.position().term() < attempt.term)
        .filter(write -> !successor.holds(write.number()))
        .findFirst()
        .map(write -> "lost acknowledged write " + write.number());
  }

  private Optional<String> requestBarrier() {
    if (barriers.size() < 4) {
      barriers.add(new Barrier(new HashSet<>(acknowledged)));
      recordStep("request barrier");
    }
    return Optional.empty();
  }

  private Optional<String> readAtBarrier() {
    if (barriers.isEmpty()) {
      return Optional.empty();
    }
    Barrier barrier = barriers.get(random.nextInt(barriers.size()));
    Map<String, MemberStatus> stale = observers.get(random.nextInt(OBSERVERS));
    Optional<LogPosition> floor = rules.barrier().of(barrier.fresh.values(), stale.values());
    if (floor.isEmpty()) {
      return Optional.empty();
    }
    SimulatedMember member = anyMember();
    if (!rules.covers().test(member.status(), floor.get())) {
      return Optional.empty();
    }
    barriers.remove(barrier);
    recordStep("read at " + member.name + " at barrier " + floor.get());
    return barrier.before.stream()
        .filter(write -> !member.hasApplied(write.number()))
        .findFirst()
        .map(write -> "stale read without session misses write " + write.number());
  }

  private Optional<String> readOfSession() {
    if (acknowledged.isEmpty()) {
      return Optional.empty();
    }
    Write write = acknowledged.get(random.nextInt(acknowledged.size()));
    SimulatedMember member = anyMember();
    if (rules.covers().test(member.status(), write.position())
        && !member.hasApplied(write.number())) {
      recordStep("read at " + member.name);
      return Optional.of("stale read of session misses write " + write.number());
    }
    return Optional.empty();
  }

  private SimulatedMember anyMember() {
    return members.get(random.nextInt(members.size()));
  }

  private long highestTermSeen() {
    return anyMember().term;
  }

  private void recordStep(String step) {
    steps.add(step);
  }

  /**
   * A write that the primary appended.
   *
   * @param number The number of the write.
   * @param position The position that the primary reported.
   */
  private record Write(int number, LogPosition position) {}

  /** An attempt of a candidate to promote a primary. */
  private static final class Attempt {

    private final List<MemberStatus> sealed = new ArrayList<>();
    private long term;
    private SimulatedMember promoted;

    private Attempt(long term) {
      this.term = term;
    }

    private void restart(long newTerm) {
      term = newTerm;
      sealed.clear();
      promoted = null;
    }
  }

  /** A read without a session that waits for its barrier. */
  private static final class Barrier {

    private final Map<String, MemberStatus> fresh = new HashMap<>();
    private final Set<Write> before;

    private Barrier(Set<Write> before) {
      this.before = before;
    }
  }
}
