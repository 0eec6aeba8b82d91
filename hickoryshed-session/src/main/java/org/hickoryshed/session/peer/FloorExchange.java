package org.hickoryshed.session.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.freshness.FloorHistory;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.net.EventLoop;

/**
 * Asks other proxies for floors and answers their questions.
 *
 * <p>The age of a floor is counted from the moment of the question: the answer was made later than
 * that, so the floor is at most as old as the answer says plus the time since the question, however
 * long the datagrams were on their way.
 */
public final class FloorExchange {

  /** The number of proxies that are asked. */
  private static final int ASKED = 2;

  /** The time after which a question is forgotten, in milliseconds. */
  private static final long FORGET_MILLIS = 1000;

  /** The age from which a floor is not worth an answer, in milliseconds. */
  private static final long WORTHLESS_MILLIS = 10_000;

  /** The loop that owns this exchange. */
  private final EventLoop loop;

  /** The other proxies. */
  private final PeerNetwork peers;

  /** Finds the databases by the names of their pools. */
  private final Function<String, Optional<Database>> databases;

  /** The open questions by their numbers. */
  private final Map<Long, Question> questions = new HashMap<>();

  /** The number of the next question. */
  private long nextQuestion = 1;

  /**
   * Creates an exchange.
   *
   * @param loop The loop that owns the exchange.
   * @param peers The other proxies.
   * @param databases Finds the databases by the names of their pools.
   */
  public FloorExchange(
      EventLoop loop, PeerNetwork peers, Function<String, Optional<Database>> databases) {
    this.loop = loop;
    this.peers = peers;
    this.databases = databases;
  }

  /**
   * Asks other proxies for a floor.
   *
   * @param pool The name of the pool.
   * @param database The database that takes the floor.
   */
  public void ask(String pool, Database database) {
    long number = nextQuestion++;
    questions.put(number, new Question(database, loop.readClocks()));
    loop.schedule(FORGET_MILLIS, () -> questions.remove(number));
    List<String> alive = peers.alivePeers();
    for (int index = 0; index < Math.min(ASKED, alive.size()); index++) {
      String peer = alive.get((int) ((number + index) % alive.size()));
      peers.send(peer, new PeerMessage.FloorQuestion(pool, number));
    }
  }

  /**
   * Handles a message of another proxy.
   *
   * @param from The name of the proxy.
   * @param message The message.
   */
  public void onMessage(String from, PeerMessage message) {
    switch (message) {
      case PeerMessage.FloorQuestion question -> answer(from, question);
      case PeerMessage.FloorAnswer answer -> {
        Question open = questions.get(answer.question());
        if (open != null) {
          ClockReading asked = open.asked.minusMillis(answer.ageMillis());
          open.database.onPeerFloor(new FloorHistory.Floor(asked, answer.position()));
        }
      }
      default -> {
        // The other messages are not about floors.
      }
    }
  }

  /**
   * Answers a question if a floor is known.
   *
   * @param from The name of the asking proxy.
   * @param question The question.
   */
  private void answer(String from, PeerMessage.FloorQuestion question) {
    databases
        .apply(question.pool())
        .flatMap(database -> database.floors().latest())
        .ifPresent(
            floor -> {
              long age = loop.readClocks().millisSince(floor.asked());
              if (age < WORTHLESS_MILLIS) {
                peers.send(
                    from, new PeerMessage.FloorAnswer(question.question(), floor.position(), age));
              }
            });
  }

  /**
   * An open question.
   *
   * @param database The database that takes the floor.
   * @param asked The moment of the question.
   */
  private record Question(Database database, ClockReading asked) {}
}
