package org.hickoryshed.failover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.failover.Promotion;
import org.hickoryshed.decision.topology.Majority;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.event.EventRecorder;

/**
 * An attempt to replace the primary of a database in a fresh term.
 *
 * @param client The client of the members.
 * @param recorder The event recorder.
 * @param database The database.
 * @param term The fresh term.
 * @param oldPrimary The name of the replaced primary or an empty text.
 * @param leaving The names of members that are leaving.
 */
record PromotionAttempt(
    MemberClient client,
    EventRecorder recorder,
    Database database,
    long term,
    String oldPrimary,
    Set<String> leaving) {

  /** The longest time to wait for an answer to an order. */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** The time in milliseconds to wait for further seals after a majority. */
  private static final long GRACE = 30;

  /**
   * Seals a majority, promotes the best member and lets the others follow.
   *
   * @return The new primary or an empty optional if the attempt failed.
   */
  Optional<MemberStatus> run() {
    long start = System.nanoTime();
    List<MemberStatus> sealed = seal();
    Optional<MemberStatus> chosen = Promotion.choose(database, sealed, oldPrimary, leaving);
    if (chosen.isEmpty()) {
      recorder.record(
          "promotion-failed", "database", database.name(), "term", term, "sealed", sealed.size());
      return Optional.empty();
    }
    long sealedAt = System.nanoTime();
    Member successor = database.member(chosen.get().member()).orElseThrow();
    Optional<MemberStatus> promoted = client.promote(successor.address(), term, TIMEOUT).value();
    recorder.record(
        promoted.isPresent() ? "promoted" : "promotion-failed",
        "database",
        database.name(),
        "term",
        term,
        "member",
        successor.name(),
        "seal-ms",
        (sealedAt - start) / 1_000_000,
        "promote-ms",
        (System.nanoTime() - sealedAt) / 1_000_000);
    promoted.ifPresent(status -> followAll(successor));
    return promoted;
  }

  /**
   * Seals the members.
   *
   * @return The statuses of the members that granted the seal.
   */
  private List<MemberStatus> seal() {
    BlockingQueue<Optional<MemberStatus>> answers = new LinkedBlockingQueue<>();
    for (Member member : database.members()) {
      Thread.ofVirtual()
          .start(() -> answers.add(client.seal(member.address(), term, TIMEOUT).value()));
    }
    int members = database.members().size();
    List<MemberStatus> sealed = new ArrayList<>();
    long wait = TIMEOUT.toMillis() * 2;
    try {
      for (int answered = 0; answered < members; answered++) {
        Optional<MemberStatus> answer = answers.poll(wait, TimeUnit.MILLISECONDS);
        if (answer == null) {
          break;
        }
        answer.ifPresent(sealed::add);
        if (sealed.size() >= Majority.of(members)) {
          wait = GRACE;
        }
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    return sealed;
  }

  /**
   * Lets all other members follow the new primary.
   *
   * @param primary The new primary.
   */
  private void followAll(Member primary) {
    MemberClient.TermOrder order =
        new MemberClient.TermOrder(term, primary.name(), primary.address());
    for (Member member : database.members()) {
      if (!member.equals(primary)) {
        Thread.ofVirtual().start(() -> client.follow(member.address(), order, TIMEOUT));
      }
    }
  }
}
