package org.hickoryshed.decision.promotion;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.freshness.ClockReading;

/**
 * One proxy in the exchange of evidence that the primaries were not replaced.
 *
 * <p>An answer can help in two ways. It is a word for the asker's round, which counts together with
 * those of a quorum of electors; and if the answering proxy has evidence itself, that holds for the
 * asker as well, at the age that it had.
 *
 * <p>A word counts only if all known electors have answered the proxy that gives it in time for a
 * while. Such a proxy counts in the votes of all of them, so a quorum of words and one of promises
 * to a promotion (see {@link PrimaryRelease}) have a proxy in common, which gives only one of the
 * two.
 *
 * <p>Not thread-safe.
 */
public final class LeaseParticipant {

  /**
   * The time within which all electors must have answered, in milliseconds. It is shorter than the
   * silence after which a proxy stops counting in the votes of another one.
   */
  public static final long ANSWERED_MILLIS = 8000;

  /**
   * The time for which that must have been so, in milliseconds: a promotion that was recorded
   * before counts only the votes of the proxies that were known then.
   */
  public static final long SETTLED_MILLIS = 5000;

  /** The number of rounds whose answers still count. */
  private static final int KEPT_ROUNDS = 8;

  private final String name;

  /** The right to use the primary of a pool, by the name of the pool. */
  private final Map<String, PrimaryLease> leases;

  /** The latest rounds by their identifiers, the oldest first. */
  private final Map<Long, LeaseRound> rounds = new LinkedHashMap<>();

  /** When the last round was begun that a proxy answered, by the name of the proxy. */
  private final Map<String, ClockReading> answered = new HashMap<>();

  /** The proxies whose last answer doubted the primary of a pool, by the name of the pool. */
  private final Map<String, Set<String>> doubts = new HashMap<>();

  private LeaseElectors electors;

  /** True if this proxy has ever known another one. */
  private boolean hasKnownOthers;

  private long nextRound;

  /** Since when all electors have answered in time, empty if one did not. */
  private Optional<ClockReading> wholeSince = Optional.empty();

  /**
   * Creates a proxy that has heard no answer.
   *
   * @param name The name of the proxy.
   * @param firstRound The identifier of the first round, which differs between two runs of a proxy.
   * @param leases The right to use the primary of each pool; filled by the caller.
   */
  public LeaseParticipant(String name, long firstRound, Map<String, PrimaryLease> leases) {
    this.name = name;
    this.leases = leases;
    nextRound = firstRound;
    electors = new LeaseElectors(Set.of(name));
  }

  /**
   * Updates which proxies are known.
   *
   * @param fleet The names of all proxies that may run, this one included.
   * @param now The time.
   */
  public void updateFleet(Collection<String> fleet, ClockReading now) {
    electors = LeaseElectors.of(fleet);
    hasKnownOthers |= fleet.size() > 1;
    answered.keySet().retainAll(fleet);
    doubts.values().forEach(doubting -> doubting.retainAll(fleet));
    if (!haveAllAnswered(now)) {
      wholeSince = Optional.empty();
    } else if (wholeSince.isEmpty()) {
      wholeSince = Optional.of(now);
    }
  }

  /** Returns the proxies whose word counts. */
  public LeaseElectors electors() {
    return electors;
  }

  /**
   * Starts a round of questions.
   *
   * @param now The time, before the first question is sent.
   * @param primaries The primaries to ask about by the names of their pools.
   * @return The identifier of the round.
   */
  public long startRound(ClockReading now, Map<String, String> primaries) {
    long id = nextRound++;
    LeaseRound round = new LeaseRound(now, electors, primaries);
    rounds.put(id, round);
    rounds.keySet().removeIf(earlier -> id - earlier >= KEPT_ROUNDS);
    primaries.forEach(
        (pool, member) -> {
          if (isWhole(pool, now) && leases.get(pool).mayConfirm(member, now)) {
            recordWord(round, name, pool);
          }
        });
    return id;
  }

  /**
   * Returns the primaries that a round asked about.
   *
   * @param round The identifier of the round.
   * @return The identifiers of the members by the names of the pools; none if the answers of the
   *     round do not count any more.
   */
  public Map<String, String> primariesOf(long round) {
    return rounds.containsKey(round) ? rounds.get(round).primaries() : Map.of();
  }

  /**
   * Answers the question of another proxy.
   *
   * @param primaries The primaries that are asked about, by the names of their pools.
   * @param own The primaries of this proxy by the names of their pools.
   * @param now The time.
   * @return The answer.
   */
  public Answer answer(Map<String, String> primaries, Map<String, String> own, ClockReading now) {
    Map<String, Status> statuses = new HashMap<>();
    long oldest = -1;
    for (Map.Entry<String, String> asked : primaries.entrySet()) {
      String pool = asked.getKey();
      PrimaryLease lease = leases.get(pool);
      if (lease != null && lease.isInDoubt(asked.getValue())) {
        statuses.put(pool, Status.DOUBTED);
      } else if (lease == null
          || !asked.getValue().equals(own.get(pool))
          || !lease.mayConfirm(asked.getValue(), now)) {
        statuses.put(pool, Status.REFUSED);
      } else {
        statuses.put(pool, isWhole(pool, now) ? Status.WORD : Status.EVIDENCE);
        oldest = Math.max(oldest, evidenceAge(lease, asked.getValue(), now));
      }
    }
    boolean fresh = oldest >= 0 && oldest < PrimaryLease.VALID_MILLIS;
    return new Answer(fresh ? oldest : Answer.NO_EVIDENCE, statuses);
  }

  private static long evidenceAge(PrimaryLease lease, String member, ClockReading now) {
    return Math.max(0, lease.ageMillis(member, now).orElse(PrimaryLease.VALID_MILLIS));
  }

  /**
   * Records the answer of another proxy.
   *
   * @param from The name of the proxy.
   * @param id The identifier of the round that it answers; an old or unknown one is ignored.
   * @param answer The answer.
   */
  public void onAnswer(String from, long id, Answer answer) {
    LeaseRound round = rounds.get(id);
    if (round == null) {
      return;
    }
    answered.merge(from, round.askedAt(), LeaseParticipant::later);
    round
        .primaries()
        .forEach(
            (pool, member) ->
                recordStatus(
                    round, from, pool, answer.statuses().getOrDefault(pool, Status.REFUSED)));
    // A negative age is no evidence; any other one than NO_EVIDENCE is malformed.
    if (answer.ageMillis() < 0 || answer.ageMillis() >= PrimaryLease.VALID_MILLIS) {
      return;
    }
    ClockReading askedAt = round.askedAt().minusMillis(answer.ageMillis());
    round.primaries().entrySet().stream()
        .filter(entry -> answer.confirms(entry.getKey()))
        .forEach(entry -> leases.get(entry.getKey()).recordEvidence(entry.getValue(), askedAt));
  }

  private void recordStatus(LeaseRound round, String proxy, String pool, Status status) {
    Set<String> doubting = doubts.computeIfAbsent(pool, key -> new HashSet<>());
    if (status == Status.DOUBTED) {
      doubting.add(proxy);
    } else {
      doubting.remove(proxy);
    }
    if (status == Status.WORD && doubting.isEmpty()) {
      recordWord(round, proxy, pool);
    }
  }

  private void recordWord(LeaseRound round, String proxy, String pool) {
    if (round.recordWord(proxy, pool)) {
      leases.get(pool).recordEvidence(round.primaries().get(pool), round.askedAt());
    }
  }

  /**
   * Checks if all electors have answered in time for a while and none of them doubts the primary of
   * a pool; not if this proxy has forgotten the others.
   */
  private boolean isWhole(String pool, ClockReading now) {
    boolean alone = electors.names().size() == 1;
    return haveAllAnswered(now)
        && doubts.getOrDefault(pool, Set.of()).isEmpty()
        && (alone
            ? !hasKnownOthers
            : wholeSince.isPresent() && now.millisSince(wholeSince.get()) >= SETTLED_MILLIS);
  }

  private boolean haveAllAnswered(ClockReading now) {
    return electors.names().stream()
        .filter(elector -> !elector.equals(name))
        .allMatch(
            elector ->
                answered.containsKey(elector)
                    && now.millisSince(answered.get(elector)) < ANSWERED_MILLIS);
  }

  private static ClockReading later(ClockReading first, ClockReading second) {
    return first.monotonicNanos() - second.monotonicNanos() > 0 ? first : second;
  }

  /** What an answer says about the primary of one pool. */
  public enum Status {
    /** It is the primary of the answering proxy as well, whose word counts. */
    WORD,
    /** It is the primary of the answering proxy as well, whose word does not count. */
    EVIDENCE,
    /** The answering proxy has another primary, or does not know yet. */
    REFUSED,
    /** The answering proxy promised not to use it and does not know how the promotion ended. */
    DOUBTED
  }

  /**
   * An answer of a proxy.
   *
   * @param ageMillis The age of its own evidence for all primaries that it confirms, in
   *     milliseconds, or {@link #NO_EVIDENCE}.
   * @param statuses What it says by the names of the pools.
   */
  public record Answer(long ageMillis, Map<String, Status> statuses) {

    /** The age that stands for no evidence. */
    public static final long NO_EVIDENCE = -1;

    /** Copies the statuses. */
    public Answer {
      statuses = Map.copyOf(statuses);
    }

    private boolean confirms(String pool) {
      Status status = statuses.getOrDefault(pool, Status.REFUSED);
      return status == Status.WORD || status == Status.EVIDENCE;
    }
  }
}
