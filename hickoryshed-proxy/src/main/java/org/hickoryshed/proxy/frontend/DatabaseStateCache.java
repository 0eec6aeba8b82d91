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

/** What this entry knows of the members of the databases that it uses. */
final class DatabaseStateCache {

  /** The shortest time in nanoseconds between two rounds of questions for a database. */
  private static final long ROUND_PAUSE = 10_000_000;

  /** The longest time to wait for a pooler. */
  private static final Duration TIMEOUT = Duration.ofMillis(400);

  /** The forwarder. */
  private final Forwarder forwarder;

  /** The knowledge by the names of the databases. */
  private final Map<String, Knowledge> databases = new ConcurrentHashMap<>();

  /** The executor of questions. */
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();

  /**
   * Creates a new locator.
   *
   * @param forwarder The forwarder.
   */
  DatabaseStateCache(Forwarder forwarder) {
    this.forwarder = forwarder;
  }

  /**
   * Returns what is known of a database.
   *
   * @param database The database.
   * @return The latest view.
   */
  DatabaseView view(Database database) {
    return knowledge(database).view;
  }

  /**
   * Takes the status of a member.
   *
   * @param database The database.
   * @param status The status.
   */
  void updateStatus(Database database, MemberStatus status) {
    Knowledge knowledge = knowledge(database);
    synchronized (knowledge) {
      knowledge.view = knowledge.view.with(status);
    }
  }

  /**
   * Forgets a member that did not act as primary.
   *
   * @param database The database.
   * @param member The name of the member.
   */
  void invalidateMember(Database database, String member) {
    Knowledge knowledge = knowledge(database);
    synchronized (knowledge) {
      knowledge.view = knowledge.view.without(member);
    }
  }

  /**
   * Returns the primary and asks for it if it is not known.
   *
   * @param database The database.
   * @return The primary or an empty optional.
   */
  Optional<Member> findPrimary(Database database) {
    Optional<Member> known = knownPrimary(database);
    if (known.isPresent()) {
      return known;
    }
    Knowledge knowledge = knowledge(database);
    synchronized (knowledge.round) {
      if (knownPrimary(database).isEmpty()
          && System.nanoTime() - knowledge.roundAt >= ROUND_PAUSE) {
        askAll(database);
        knowledge.roundAt = System.nanoTime();
      }
    }
    return knownPrimary(database);
  }

  /**
   * Asks for a barrier and remembers it.
   *
   * @param database The database.
   * @param timeoutMillis The longest time to wait in milliseconds.
   * @return The position of the barrier or an empty optional.
   */
  Optional<LogPosition> requestBarrier(Database database, long timeoutMillis) {
    Optional<Member> primary = findPrimary(database);
    if (primary.isEmpty()) {
      return Optional.empty();
    }
    long askedAt = System.currentTimeMillis();
    Optional<Message> reply =
        forwarder.query(
            primary.get(),
            new Message.AskBarrier(database.name(), timeoutMillis),
            Duration.ofMillis(timeoutMillis).plus(TIMEOUT));
    Optional<LogPosition> position =
        reply
            .filter(Message.Barrier.class::isInstance)
            .flatMap(message -> ((Message.Barrier) message).position());
    Knowledge knowledge = knowledge(database);
    synchronized (knowledge) {
      position.ifPresent(reached -> knowledge.barriers.add(askedAt, reached));
    }
    if (position.isEmpty()) {
      invalidateMember(database, primary.get().name());
    }
    return position;
  }

  /**
   * Returns a barrier that was proved not too long ago.
   *
   * @param database The database.
   * @param maxAgeMillis The accepted age in milliseconds.
   * @return The position of the barrier or an empty optional.
   */
  Optional<LogPosition> recentBarrier(Database database, int maxAgeMillis) {
    Knowledge knowledge = knowledge(database);
    synchronized (knowledge) {
      return knowledge.barriers.oldestWithin(System.currentTimeMillis(), maxAgeMillis);
    }
  }

  /**
   * Returns the known primary.
   *
   * @param database The database.
   * @return The primary or an empty optional.
   */
  private Optional<Member> knownPrimary(Database database) {
    return view(database).primaryName().flatMap(database::member);
  }

  /**
   * Asks the poolers of all members for statuses.
   *
   * @param database The database.
   */
  private void askAll(Database database) {
    CompletionService<Optional<Message>> replies = new ExecutorCompletionService<>(executor);
    for (Member member : database.members()) {
      Message question = new Message.AskStatus(database.name(), member.name());
      replies.submit(() -> forwarder.query(member, question, TIMEOUT));
    }
    try {
      for (int asked = 0; asked < database.members().size(); asked++) {
        Optional<Message> reply = replies.take().get();
        if (reply.orElse(null) instanceof Message.Status(Optional<MemberStatus> status)) {
          status.ifPresent(known -> updateStatus(database, known));
        }
        if (knownPrimary(database).isPresent()) {
          return;
        }
      }
    } catch (ExecutionException exception) {
      throw new IllegalStateException(exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Returns the knowledge of a database.
   *
   * @param database The database.
   * @return The knowledge.
   */
  private Knowledge knowledge(Database database) {
    return databases.computeIfAbsent(database.name(), name -> new Knowledge());
  }

  /** What is known of one database. */
  private static final class Knowledge {

    /** The monitor that lets one thread ask at a time. */
    private final Object round = new Object();

    /** The latest barriers. */
    private final BarrierHistory barriers = new BarrierHistory();

    /** The latest view. */
    private volatile DatabaseView view = DatabaseView.EMPTY;

    /** The time in nanoseconds of the latest round of questions. */
    private long roundAt = System.nanoTime() - ROUND_PAUSE;
  }
}
