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
 * Polls the statuses of the members of one database while threads wait for a condition on them.
 *
 * <p>All waiting threads share the polls, so that one round of requests serves any number of
 * commits and reads. Without a waiting thread no member is polled. All methods may be called by any
 * thread.
 */
public final class MemberStatusPoller {

  /** The pause between two requests to the same member. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(2);

  /** The pause after a request without a response. */
  private static final Duration FAILURE_INTERVAL = Duration.ofMillis(25);

  private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(400);

  private final Database database;
  private final MemberClient client;

  /** The latest statuses by member name. */
  private final Map<String, Observed> observed = new HashMap<>();

  /** The names of the members that a thread polls. */
  private final Set<String> polledMembers = new HashSet<>();

  /**
   * The position that was confirmed last. A majority holds all earlier positions of its term, too.
   */
  private LogPosition lastConfirmed = LogPosition.ORIGIN;

  /** The number of threads that wait for a condition. */
  private int waiters;

  /** Creates a poller, which polls nothing until a thread waits. */
  public MemberStatusPoller(Database database, MemberClient client) {
    this.database = database;
    this.client = client;
  }

  /** Takes a status that came with the response to another request. */
  public synchronized void observe(MemberStatus status) {
    store(status, 0);
  }

  /**
   * Returns the latest status of a member.
   *
   * @param member The name of the member.
   * @return The latest status or an empty optional if none is known.
   */
  public synchronized Optional<MemberStatus> latestStatus(String member) {
    return Optional.ofNullable(observed.get(member)).map(Observed::status);
  }

  /**
   * Waits until a majority of the members holds a position or has left its term.
   *
   * @param deadline The time in epoch milliseconds at which to give up.
   * @return {@link Confirmation#PENDING} if neither was known by the deadline.
   */
  public Confirmation awaitConfirmation(LogPosition position, long deadline) {
    return await(
            statuses -> {
              if (position.term() == lastConfirmed.term()
                  && position.index() <= lastConfirmed.index()) {
                return Optional.of(Confirmation.CONFIRMED);
              }
              Confirmation state = Confirmation.of(position, statuses, database.members().size());
              if (state == Confirmation.CONFIRMED) {
                lastConfirmed = position;
              }
              return Optional.of(state).filter(known -> known != Confirmation.PENDING);
            },
            0,
            deadline)
        .orElse(Confirmation.PENDING);
  }

  /**
   * Waits until a majority of the members proves a read barrier: a position that covers every write
   * acknowledged before this call. Only statuses that were requested after this call count.
   *
   * @param deadline The time in epoch milliseconds at which to give up.
   * @return The position or an empty optional if none was proved by the deadline.
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
   * @param floor The position to reach.
   * @param deadline The time in epoch milliseconds at which to give up.
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
   * @param condition Returns the result once it is met; called under the monitor of this poller.
   * @param requestedAfter The {@link System#nanoTime()} after which statuses must have been
   *     requested, or zero to take all.
   * @param deadline The time in epoch milliseconds at which to give up.
   * @param <T> The type of the result.
   * @return The result of the condition or an empty optional if it was not met.
   */
  private synchronized <T> Optional<T> await(
      Function<Collection<MemberStatus>, Optional<T>> condition,
      long requestedAfter,
      long deadline) {
    waiters++;
    try {
      while (true) {
        Optional<T> result = condition.apply(statuses(requestedAfter));
        long remaining = deadline - System.currentTimeMillis();
        if (result.isPresent() || remaining <= 0) {
          return result;
        }
        startPolling();
        wait(remaining);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } finally {
      waiters--;
    }
  }

  /**
   * Returns the statuses that were requested after a time.
   *
   * @param requestedAfter The {@link System#nanoTime()} to compare with, or zero for all statuses.
   */
  private Collection<MemberStatus> statuses(long requestedAfter) {
    return observed.values().stream()
        .filter(entry -> requestedAfter == 0 || entry.requestedAt() - requestedAfter >= 0)
        .map(Observed::status)
        .toList();
  }

  /** Starts a polling thread for each member that has none. */
  private void startPolling() {
    for (Member member : database.members()) {
      if (polledMembers.add(member.name())) {
        Thread.ofVirtual().name("status-" + member.name()).start(() -> poll(member));
      }
    }
  }

  /** Polls a member until no thread waits. */
  private void poll(Member member) {
    try {
      while (continuesPolling(member.name())) {
        long requestedAt = System.nanoTime();
        Optional<MemberStatus> status = client.status(member.address(), REQUEST_TIMEOUT).value();
        if (status.isPresent()) {
          synchronized (this) {
            store(status.get(), requestedAt);
          }
        }
        Thread.sleep(status.isPresent() ? POLL_INTERVAL : FAILURE_INTERVAL);
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Checks if a thread waits, and marks the member as not polled otherwise.
   *
   * @param member The name of the member.
   * @return {@code true} if the polling is to go on.
   */
  private synchronized boolean continuesPolling(String member) {
    if (waiters == 0) {
      polledMembers.remove(member);
      return false;
    }
    return true;
  }

  /**
   * Stores a status and wakes the waiting threads. A status of a lower term than the stored one is
   * dropped.
   *
   * @param requestedAt The {@link System#nanoTime()} at which the status was requested, or zero if
   *     that is not known; then the time of the stored status is kept.
   */
  private void store(MemberStatus status, long requestedAt) {
    Observed known = observed.get(status.member());
    if (known != null && known.status().term() > status.term()) {
      return;
    }
    long time = requestedAt == 0 && known != null ? known.requestedAt() : requestedAt;
    observed.put(status.member(), new Observed(status, time));
    notifyAll();
  }

  /**
   * A status and when it was requested.
   *
   * @param status The status.
   * @param requestedAt The {@link System#nanoTime()} of the request, or zero if that is not known.
   */
  private record Observed(MemberStatus status, long requestedAt) {}
}
