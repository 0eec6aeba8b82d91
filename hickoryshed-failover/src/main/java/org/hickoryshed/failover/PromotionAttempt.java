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
 * One attempt to replace the primary of a database by a successor in a new term.
 *
 * @param client The client of the members.
 * @param recorder The event recorder.
 * @param database The database.
 * @param term The new term, higher than all known ones.
 * @param oldPrimary The name of the primary to replace, or an empty text if none is known.
 * @param leaving The names of the members that are being removed.
 */
record PromotionAttempt(
    MemberClient client,
    EventRecorder recorder,
    Database database,
    long term,
    String oldPrimary,
    Set<String> leaving) {

  /** The timeout of an order to a member. */
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  /** The time in milliseconds to wait for each further seal once a majority has granted it. */
  private static final long GRACE_MILLIS = 30;

  /**
   * Seals a majority of the members, promotes the one that {@link Promotion} chooses and orders the
   * others to follow it.
   *
   * @return The status of the new primary, empty if no majority granted the seal or the promotion
   *     failed.
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
   * Seals the members, so that they refuse all lower terms.
   *
   * @return The statuses of the members that granted the seal in time.
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
          wait = GRACE_MILLIS;
        }
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
    return sealed;
  }

  /**
   * Orders all other members to follow the new primary, without waiting for their answers. The
   * coordinator repeats the order for a member that misses it.
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
