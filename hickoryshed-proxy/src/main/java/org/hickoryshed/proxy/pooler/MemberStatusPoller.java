package org.hickoryshed.proxy.pooler;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.decision.commit.Confirmation;
import org.hickoryshed.decision.commit.ReadBarrier;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;

/**
 * The statuses of the members of one database, asked for while somebody waits for them.
 *
 * <p>All who wait share the same questions, so that one round serves any number of commits and
 * reads.
 */
public final class MemberStatusPoller {

  /** The pause between two questions to a member. */
  private static final Duration PAUSE = Duration.ofMillis(2);

  /** The pause after a question that was not answered. */
  private static final Duration FAILURE_PAUSE = Duration.ofMillis(25);

  /** The longest time to wait for a status. */
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  /** The database. */
  private final Database database;

  /** The client of the members. */
  private final MemberClient client;

  /** The latest statuses by the names of the members. */
  private final Map<String, Observed> observed = new HashMap<>();

  /** The members that are being asked. */
  private final Set<String> asking = new HashSet<>();

  /** The highest position that is known to be confirmed. */
  private LogPosition confirmed = LogPosition.ORIGIN;

  /** The number of those who wait. */
  private int waiters;

  /**
   * Creates a new watch.
   *
   * @param database The database.
   * @param client The client of the members.
   */
  public MemberStatusPoller(Database database, MemberClient client) {
    this.database = database;
    this.client = client;
  }

  /**
   * Takes a status that came with another answer.
   *
   * @param status The status.
   */
  public synchronized void observe(MemberStatus status) {
    put(status, 0);
  }

  /**
   * Returns the latest status of a member.
   *
   * @param member The name of the member.
   * @return The latest status or an empty optional.
   */
  public synchronized Optional<MemberStatus> latestStatus(String member) {
    return Optional.ofNullable(observed.get(member)).map(Observed::status);
  }

  /**
   * Waits until a position is confirmed or superseded.
   *
   * @param position The position.
   * @param deadline The time in milliseconds at which to give up.
   * @return The state of the confirmation.
   */
  public Confirmation awaitConfirmation(LogPosition position, long deadline) {
    return await(
            statuses -> {
              if (position.term() == confirmed.term() && position.index() <= confirmed.index()) {
                return Optional.of(Confirmation.CONFIRMED);
              }
              Confirmation state = Confirmation.of(position, statuses, database.members().size());
              if (state == Confirmation.CONFIRMED) {
                confirmed = position;
              }
              return Optional.of(state).filter(known -> known != Confirmation.PENDING);
            },
            0,
            deadline)
        .orElse(Confirmation.PENDING);
  }

  /**
   * Waits for a read barrier.
   *
   * @param deadline The time in milliseconds at which to give up.
   * @return The position of the barrier or an empty optional.
   */
  public Optional<LogPosition> awaitBarrier(long deadline) {
    return await(
        statuses -> ReadBarrier.of(statuses, database.members().size()),
        System.nanoTime(),
        deadline);
  }

  /**
   * Waits until a member has applied a position.
   *
   * @param member The name of the member.
   * @param floor The position.
   * @param deadline The time in milliseconds at which to give up.
   * @return {@code true} if the member has applied the position.
   */
  public boolean awaitApplied(String member, LogPosition floor, long deadline) {
    return await(
            statuses ->
                statuses.stream()
                    .filter(status -> status.member().equals(member))
                    .filter(status -> status.appliedPosition().covers(floor))
                    .findFirst(),
            0,
            deadline)
        .isPresent();
  }

  /**
   * Waits until the statuses meet a condition.
   *
   * @param condition The condition, called under the monitor of this watch.
   * @param askedAfter The time in nanoseconds after which statuses must have been asked for, or
   *     zero.
   * @param deadline The time in milliseconds at which to give up.
   * @param <T> The type of the result.
   * @return The result of the condition or an empty optional.
   */
  private synchronized <T> Optional<T> await(
      Function<Collection<MemberStatus>, Optional<T>> condition, long askedAfter, long deadline) {
    waiters++;
    try {
      while (true) {
        Optional<T> result = condition.apply(statuses(askedAfter));
        long rest = deadline - System.currentTimeMillis();
        if (result.isPresent() || rest <= 0) {
          return result;
        }
        askAll();
        wait(rest);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } finally {
      waiters--;
    }
  }

  /**
   * Returns the statuses that were asked for after a time.
   *
   * @param askedAfter The time in nanoseconds, or zero for all statuses.
   * @return The statuses.
   */
  private Collection<MemberStatus> statuses(long askedAfter) {
    return observed.values().stream()
        .filter(entry -> askedAfter == 0 || entry.askedAt() - askedAfter >= 0)
        .map(Observed::status)
        .toList();
  }

  /** Lets each member be asked that is not being asked already. */
  private void askAll() {
    for (Member member : database.members()) {
      if (asking.add(member.name())) {
        Thread.ofVirtual().name("status-" + member.name()).start(() -> ask(member));
      }
    }
  }

  /**
   * Asks a member again and again while somebody waits.
   *
   * @param member The member.
   */
  private void ask(Member member) {
    try {
      while (isAwaited(member.name())) {
        long askedAt = System.nanoTime();
        Optional<MemberStatus> status = client.status(member.address(), TIMEOUT).value();
        if (status.isPresent()) {
          synchronized (this) {
            put(status.get(), askedAt);
          }
        }
        Thread.sleep(status.isPresent() ? PAUSE : FAILURE_PAUSE);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Checks if somebody waits, and ends the questions to a member otherwise.
   *
   * @param member The name of the member.
   * @return {@code true} if somebody waits.
   */
  private synchronized boolean isAwaited(String member) {
    if (waiters == 0) {
      asking.remove(member);
      return false;
    }
    return true;
  }

  /**
   * Takes a status into the latest ones.
   *
   * @param status The status.
   * @param askedAt The time in nanoseconds at which it was asked for, or zero if that is not known.
   */
  private void put(MemberStatus status, long askedAt) {
    Observed known = observed.get(status.member());
    if (known != null && known.status().term() > status.term()) {
      return;
    }
    long time = askedAt == 0 && known != null ? known.askedAt() : askedAt;
    observed.put(status.member(), new Observed(status, time));
    notifyAll();
  }

  /**
   * A status and when it was asked for.
   *
   * @param status The status.
   * @param askedAt The time in nanoseconds at which it was asked for.
   */
  private record Observed(MemberStatus status, long askedAt) {}
}
