package org.hickoryshed.decision.quota;

import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * The quotas of all workspaces at one proxy: it admits operations with tokens that it borrows from
 * the holders of the slots, and grants tokens of the slots that it holds.
 *
 * <p>An operation that finds no token waits for the answers of the holders, which are asked one
 * after the other. It is refused once all of them have answered that they have none left, or are
 * silent and the reserve is used up. A workspace only ever waits for its own tokens.
 */
public final class FleetQuota {

  /** The number of operations of one workspace that wait for tokens at most. */
  private static final int MAX_WAITING = 256;

  /** The time after which an operation is tried again that found too many others waiting. */
  private static final long CROWDED_MILLIS = 50;

  /**
   * The time for which an operation waits at most, from its arrival to the next request, for a
   * token that a holder is about to gain.
   */
  private static final long MAX_WAIT_MILLIS = 40;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final String self;

  private final FleetView fleet;

  private final Function<String, Optional<QuotaPlan>> plans;

  private final ToIntFunction<String> distance;

  private final Port port;

  private final QuotaGranter granter;

  /** The workspaces that were used lately, by name. */
  private final Map<String, Use> uses = new HashMap<>();

  /** The proxies that did not answer a request since they were heard last; asked last. */
  private final Set<String> silent = new HashSet<>();

  private long nextRequestId;

  /**
   * Creates the quotas of a proxy.
   *
   * @param self The name of the proxy.
   * @param fleet Its view of the fleet.
   * @param plans Returns the plan in force for a workspace, empty if it has no limit.
   * @param distance Returns how far away a proxy is; the nearest holder is asked first.
   * @param port Sends the requests.
   * @param firstRequestId The identifier of the first request, to be far from those of earlier runs
   *     of this proxy, whose late answers would count otherwise.
   */
  public FleetQuota(
      String self,
      FleetView fleet,
      Function<String, Optional<QuotaPlan>> plans,
      ToIntFunction<String> distance,
      Port port,
      long firstRequestId) {
    this.self = self;
    this.fleet = fleet;
    this.plans = plans;
    this.distance = distance;
    this.port = port;
    nextRequestId = firstRequestId;
    granter = new QuotaGranter(fleet);
  }

  /**
   * Admits or refuses an operation, at once or as soon as the holders have answered.
   *
   * @param workspace The name of the workspace.
   * @param outcome Receives an empty value if the operation is admitted, otherwise the time in
   *     milliseconds after which it may be.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void admit(String workspace, Consumer<OptionalLong> outcome, long now) {
    Optional<QuotaPlan> plan = plans.apply(workspace);
    if (plan.isEmpty()) {
      outcome.accept(OptionalLong.empty());
      return;
    }
    Use use = uses.computeIfAbsent(workspace, key -> new Use(now));
    if (use.waiting.size() >= MAX_WAITING) {
      outcome.accept(OptionalLong.of(CROWDED_MILLIS));
      return;
    }
    use.waiting.add(new Waiting(outcome, now));
    proceed(workspace, use, plan.get(), now);
  }

  /**
   * Gives back an admitted operation that certainly reached no member.
   *
   * @param workspace The name of the workspace.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void giveBack(String workspace, long now) {
    Optional.ofNullable(uses.get(workspace)).ifPresent(use -> use.borrower.giveBack(now));
  }

  /**
   * Answers the request of another proxy for tokens.
   *
   * @param workspace The name of the workspace.
   * @param wanted The number of tokens wanted.
   * @param now The monotonic clock reading in nanoseconds.
   * @return The grant.
   */
  public QuotaGranter.Grant onRequest(String workspace, int wanted, long now) {
    return plans
        .apply(workspace)
        .map(plan -> granter.grant(workspace, plan, wanted, now))
        .orElse(QuotaGranter.Grant.NOT_HOLDER);
  }

  /**
   * Handles the answer of a holder.
   *
   * @param workspace The name of the workspace.
   * @param requestId The identifier of the request.
   * @param grant The grant.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void onGrant(String workspace, long requestId, QuotaGranter.Grant grant, long now) {
    Use use = uses.get(workspace);
    if (use != null) {
      use.borrower.onGrant(requestId, grant, now);
      proceed(workspace, use, now);
    }
  }

  /**
   * Handles that the time for the answer to a request has passed.
   *
   * @param workspace The name of the workspace.
   * @param requestId The identifier of the request.
   * @param now The monotonic clock reading in nanoseconds.
   * @return {@code true} unless the request was answered before.
   */
  public boolean onTimeout(String workspace, long requestId, long now) {
    Use use = uses.get(workspace);
    if (use == null) {
      return false;
    }
    Optional<String> holder = use.borrower.onTimeout(requestId, now);
    holder.ifPresent(silent::add);
    // Also if the request was forgotten since: what waited for its answer must go on.
    proceed(workspace, use, now);
    return holder.isPresent();
  }

  /**
   * Records that a message of another proxy arrived.
   *
   * @param name The name of the proxy.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void onHeard(String name, long now) {
    silent.remove(name);
    fleet.onHeard(name, now);
  }

  /**
   * Goes on with the operations that wait for a token that a holder has gained by now.
   *
   * @param workspace The name of the workspace.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void onWake(String workspace, long now) {
    Optional.ofNullable(uses.get(workspace)).ifPresent(use -> proceed(workspace, use, now));
  }

  /**
   * Forgets what is not needed any more, and joins the fleet as soon as possible; to be called
   * about once a second.
   *
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void tidy(long now) {
    fleet.takesPart(now);
    granter.tidy(now);
    silent.removeIf(name -> !fleet.knows(name));
    uses.entrySet().removeIf(entry -> isIdle(entry.getKey(), entry.getValue(), now));
  }

  /**
   * Returns the number of workspaces with state at this proxy.
   *
   * @return The number of workspaces used here and of slots granted from here.
   */
  public int size() {
    return uses.size() + granter.size();
  }

  private boolean isIdle(String workspace, Use use, long now) {
    return use.waiting.isEmpty()
        && plans
            .apply(workspace)
            .map(plan -> use.borrower.isIdle(plan.windowMillis(), now))
            .orElse(true);
  }

  /** Goes on under the plan in force; without a limit all that wait are admitted. */
  private void proceed(String workspace, Use use, long now) {
    plans
        .apply(workspace)
        .ifPresentOrElse(
            plan -> proceed(workspace, use, plan, now), () -> use.answerAll(OptionalLong.empty()));
  }

  /** Admits what there are tokens for, asks for more, and refuses if no answer is awaited. */
  private void proceed(String workspace, Use use, QuotaPlan plan, long now) {
    List<String> holders = holders(workspace, plan);
    do {
      while (!use.waiting.isEmpty() && use.borrower.tryTake(now)) {
        use.answerFirst(OptionalLong.empty());
      }
    } while (askNext(workspace, use, plan, holders, now));
    while (!use.waiting.isEmpty() && !use.borrower.awaitsGrant()) {
      long retryAfterMillis = use.borrower.retryAfterMillis(holders, now);
      if (use.mayWait(retryAfterMillis, now)) {
        port.wake(workspace, retryAfterMillis);
        return;
      }
      long share = fleet.reserveShare(workspace, plan, now);
      if (use.borrower.tryReserve(share, plan.windowMillis(), holders, now)) {
        use.answerFirst(OptionalLong.empty());
      } else {
        use.answerFirst(OptionalLong.of(retryAfterMillis));
      }
    }
  }

  /**
   * Asks a holder if there is need; this proxy answers itself at once.
   *
   * @return {@code true} if there may be more to ask for.
   */
  private boolean askNext(
      String workspace, Use use, QuotaPlan plan, List<String> holders, long now) {
    long id = nextRequestId++;
    Optional<QuotaBorrower.Request> next =
        use.borrower.nextRequest(id, holders, use.waiting.size(), now);
    next.ifPresent(
        request -> {
          if (request.holder().equals(self)) {
            use.borrower.onGrant(id, granter.grant(workspace, plan, request.wanted(), now), now);
          } else {
            port.request(request.holder(), workspace, id, request.wanted());
          }
        });
    return next.isPresent();
  }

  private List<String> holders(String workspace, QuotaPlan plan) {
    return fleet.holders(workspace, plan.slots()).stream()
        .sorted(
            Comparator.<String, Boolean>comparing(silent::contains)
                .thenComparingInt(name -> name.equals(self) ? -1 : distance.applyAsInt(name))
                .thenComparingInt(name -> (self + name).hashCode()))
        .toList();
  }

  /** Sends the requests of a proxy and measures its times. */
  public interface Port {

    /**
     * Sends a request for tokens, and sees to it that {@link #onTimeout} is called.
     *
     * @param holder The name of the proxy to ask.
     * @param workspace The name of the workspace.
     * @param requestId The identifier of the request.
     * @param wanted The number of tokens wanted.
     */
    void request(String holder, String workspace, long requestId, int wanted);

    /**
     * Sees to it that {@link #onWake} is called.
     *
     * @param workspace The name of the workspace.
     * @param delayMillis After which time, in milliseconds.
     */
    void wake(String workspace, long delayMillis);
  }

  /**
   * An operation that waits for a token.
   *
   * @param outcome Receives the outcome.
   * @param since When it arrived, in nanoseconds of the monotonic clock.
   */
  private record Waiting(Consumer<OptionalLong> outcome, long since) {}

  /** The use of a workspace at this proxy. */
  private static final class Use {

    private final QuotaBorrower borrower;

    /** The operations that wait for tokens. */
    private final Deque<Waiting> waiting = new ArrayDeque<>();

    private Use(long now) {
      borrower = new QuotaBorrower(now);
    }

    /** Checks if the operation that came first may wait for a time in milliseconds. */
    private boolean mayWait(long millis, long now) {
      return now - waiting.getFirst().since <= (MAX_WAIT_MILLIS - millis) * NANOS_PER_MILLI;
    }

    private void answerFirst(OptionalLong answer) {
      waiting.removeFirst().outcome.accept(answer);
    }

    private void answerAll(OptionalLong answer) {
      for (int remaining = waiting.size(); remaining > 0 && !waiting.isEmpty(); remaining--) {
        answerFirst(answer);
      }
    }
  }
}
