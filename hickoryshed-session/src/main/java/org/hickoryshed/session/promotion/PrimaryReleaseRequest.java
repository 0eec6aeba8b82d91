package org.hickoryshed.session.promotion;

import java.util.HashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hickoryshed.decision.promotion.LeaseElectors;
import org.hickoryshed.decision.promotion.PrimaryRelease;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;

/**
 * Asks all proxies to promise not to use a primary whose replacement is recorded, and waits until
 * none may use it by the time at which the replacement takes effect; see {@link PrimaryRelease}.
 *
 * <p>All methods run on the event loop unless they say otherwise.
 */
final class PrimaryReleaseRequest {

  /** The interval at which proxies that have not promised are asked again, in milliseconds. */
  private static final long INTERVAL_MILLIS = 25;

  /** The time after which a request is given up, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 1100;

  private final MemberContext context;

  private final PeerNetwork peers;

  private String pool = "";

  private String member = "";

  /** The promises to the current promotion; only one promotion of this proxy runs at a time. */
  private PrimaryRelease release;

  private CompletableFuture<Boolean> result = CompletableFuture.completedFuture(false);

  PrimaryReleaseRequest(MemberContext context, PeerNetwork peers) {
    this.context = context;
    this.peers = peers;
    release = release(Set.of(), Set.of());
  }

  private static PrimaryRelease release(Set<String> fleet, Set<String> electors) {
    return new PrimaryRelease(fleet, LeaseElectors.of(electors), Database.MIN_PROMOTION_MILLIS);
  }

  /**
   * Returns the proxies whose promises count: of a small system those that count in votes, so that
   * it goes on after the loss of most of them.
   */
  private Set<String> voters(Set<String> fleet) {
    if (fleet.size() > LeaseElectors.MAX_ELECTORS) {
      return fleet;
    }
    Set<String> voters = new HashSet<>(peers.recentPeers());
    voters.add(context.processName());
    return voters;
  }

  /**
   * Asks for the promises and waits for them. Must not be called on the event loop.
   *
   * @param promotedPool The name of the pool.
   * @param promotedMember The identifier of the member that is to be promoted.
   * @param announce Tells all proxies, this one included, of the promotion; called on the event
   *     loop.
   * @return {@code false} if too few proxies promised, so that the member must not be promoted.
   */
  boolean await(String promotedPool, String promotedMember, Runnable announce) {
    CompletableFuture<Boolean> awaited = new CompletableFuture<>();
    boolean submitted =
        context
            .loop()
            .submit(
                () -> {
                  result = awaited;
                  pool = promotedPool;
                  member = promotedMember;
                  Set<String> fleet = new HashSet<>(peers.knownPeers());
                  fleet.add(context.processName());
                  release = release(fleet, voters(fleet));
                  announce.run();
                  release.recordPromise(context.processName(), context.loop().now());
                  check(awaited);
                });
    try {
      return submitted && awaited.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    } catch (TimeoutException | ExecutionException exception) {
      context
          .log()
          .event("takeover-not-released")
          .with("pool", promotedPool)
          .with("reason", "too few proxies promised not to use the primary")
          .write();
      return false;
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return false;
    } finally {
      awaited.cancel(false);
    }
  }

  /** Promises another proxy not to use the current primary, where that matters. */
  void promise(String to, PeerMessage.PromotionRecorded promotion) {
    if (!context.fencedByPlatform().getAsBoolean()) {
      peers.send(to, new PeerMessage.PromotionPromised(promotion.pool(), promotion.member()));
    }
  }

  /** Records the promise of another proxy, unless it is to another promotion. */
  void onPromise(String from, PeerMessage.PromotionPromised promise) {
    if (promise.pool().equals(pool) && promise.member().equals(member)) {
      release.recordPromise(from, context.loop().now());
      complete(result);
    }
  }

  private void complete(CompletableFuture<Boolean> awaited) {
    OptionalLong due = release.requestNanos();
    if (!awaited.isDone() && due.isPresent() && context.loop().now() - due.getAsLong() >= 0) {
      context
          .log()
          .event("takeover-released")
          .with("pool", pool)
          .with("member", member)
          .with("missing", release.missing().size())
          .write();
      awaited.complete(true);
    }
  }

  /** Asks the proxies again that have not promised, until the request is over. */
  private void check(CompletableFuture<Boolean> awaited) {
    complete(awaited);
    if (awaited.isDone() || awaited != result) {
      return;
    }
    context
        .loop()
        .schedule(
            INTERVAL_MILLIS,
            () -> {
              if (!awaited.isDone() && awaited == result) {
                PeerMessage message = new PeerMessage.PromotionRecorded(pool, member);
                release.missing().forEach(proxy -> peers.send(proxy, message));
                check(awaited);
              }
            });
  }
}
