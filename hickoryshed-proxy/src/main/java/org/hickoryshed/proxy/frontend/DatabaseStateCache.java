package org.hickoryshed.proxy.frontend;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionService;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.route.BarrierHistory;
import org.hickoryshed.decision.topology.DatabaseView;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.protocol.message.Message;

/**
 * Caches what this proxy knows of each database: the statuses of its members, its primary and its
 * latest read barriers. What is missing is requested from the poolers. All methods may be called by
 * any thread.
 */
final class DatabaseStateCache {

  /** The shortest time in nanoseconds between two rounds of status queries for a database. */
  private static final long QUERY_INTERVAL_NANOS = 10_000_000;

  private static final Duration QUERY_TIMEOUT = Duration.ofMillis(400);

  private final Forwarder forwarder;

  /** The states by database name. */
  private final Map<String, DatabaseState> states = new ConcurrentHashMap<>();

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  DatabaseStateCache(Forwarder forwarder) {
    this.forwarder = forwarder;
  }

  /** Returns the latest known statuses of the members of a database. */
  DatabaseView view(Database database) {
    return state(database).view;
  }

  /** Stores the status of a member. */
  void updateStatus(Database database, MemberStatus status) {
    DatabaseState state = state(database);
    synchronized (state) {
      state.view = state.view.with(status);
    }
  }

  /**
   * Forgets a member that did not act as primary, so that the primary is looked up again.
   *
   * @param member The name of the member.
   */
  void invalidateMember(Database database, String member) {
    DatabaseState state = state(database);
    synchronized (state) {
      state.view = state.view.without(member);
    }
  }

  /**
   * Returns the primary. If none is known, one thread at a time queries all members for it.
   *
   * @return The primary or an empty optional if none was found.
   */
  Optional<Member> findPrimary(Database database) {
    Optional<Member> known = cachedPrimary(database);
    if (known.isPresent()) {
      return known;
    }
    DatabaseState state = state(database);
    synchronized (state.queryLock) {
      if (cachedPrimary(database).isEmpty()
          && System.nanoTime() - state.lastQueryNanos >= QUERY_INTERVAL_NANOS) {
        queryAllMembers(database);
        state.lastQueryNanos = System.nanoTime();
      }
    }
    return cachedPrimary(database);
  }

  /**
   * Requests a read barrier through the pooler of the primary and caches it. Without a barrier the
   * primary is forgotten.
   *
   * @param timeoutMillis The time in milliseconds in which the pooler has to prove the barrier.
   * @return The position of the barrier or an empty optional.
   */
  Optional<LogPosition> requestBarrier(Database database, long timeoutMillis) {
    Optional<Member> primary = findPrimary(database);
    if (primary.isEmpty()) {
      return Optional.empty();
    }
    long requestedAt = System.currentTimeMillis();
    Optional<Message> response =
        forwarder.query(
            primary.get(),
            new Message.AskBarrier(database.name(), timeoutMillis),
            Duration.ofMillis(timeoutMillis).plus(QUERY_TIMEOUT));
    Optional<LogPosition> position =
        response
            .filter(Message.Barrier.class::isInstance)
            .flatMap(message -> ((Message.Barrier) message).position());
    DatabaseState state = state(database);
    synchronized (state) {
      position.ifPresent(reached -> state.barriers.add(requestedAt, reached));
    }
    if (position.isEmpty()) {
      invalidateMember(database, primary.get().name());
    }
    return position;
  }

  /**
   * Returns the oldest cached barrier of the accepted age, which most replicas have reached.
   *
   * @param maxAgeMillis The accepted age in milliseconds.
   * @return The position of the barrier or an empty optional if none is young enough.
   */
  Optional<LogPosition> recentBarrier(Database database, int maxAgeMillis) {
    DatabaseState state = state(database);
    synchronized (state) {
      return state.barriers.oldestWithin(System.currentTimeMillis(), maxAgeMillis);
    }
  }

  /** Returns the primary as far as it is known, without a query. */
  private Optional<Member> cachedPrimary(Database database) {
    return view(database).primaryName().flatMap(database::member);
  }

  /** Queries the poolers of all members for statuses until a primary is known. */
  private void queryAllMembers(Database database) {
    CompletionService<Optional<Message>> responses = new ExecutorCompletionService<>(executor);
    for (Member member : database.members()) {
      Message query = new Message.AskStatus(database.name(), member.name());
      responses.submit(() -> forwarder.query(member, query, QUERY_TIMEOUT));
    }
    try {
      for (int received = 0; received < database.members().size(); received++) {
        Optional<Message> response = responses.take().get();
        if (response.orElse(null) instanceof Message.Status(Optional<MemberStatus> status)) {
          status.ifPresent(known -> updateStatus(database, known));
        }
        if (cachedPrimary(database).isPresent()) {
          return;
        }
      }
    } catch (ExecutionException exception) {
      throw new IllegalStateException(exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the state of a database, which is created on the first call. */
  private DatabaseState state(Database database) {
    return states.computeIfAbsent(database.name(), name -> new DatabaseState());
  }

  /** What is known of one database. */
  private static final class DatabaseState {

    /** The monitor that lets one thread query at a time. */
    private final Object queryLock = new Object();

    private final BarrierHistory barriers = new BarrierHistory();

    private volatile DatabaseView view = DatabaseView.EMPTY;

    /** The {@link System#nanoTime()} of the latest round of queries. */
    private long lastQueryNanos = System.nanoTime() - QUERY_INTERVAL_NANOS;
  }
}
