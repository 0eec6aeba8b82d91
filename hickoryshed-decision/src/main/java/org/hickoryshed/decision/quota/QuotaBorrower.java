package org.hickoryshed.decision.quota;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The tokens of one workspace that one proxy may use, and whom it asks for more.
 *
 * <p>Tokens expire {@link QuotaPlan#LEASE_MILLIS} after the request for them was sent, by the
 * monotonic clock of this proxy: the holder granted them later than that, so they are used within
 * this time after they were granted, however long the datagrams were on their way.
 */
public final class QuotaBorrower {

  private static final long NANOS_PER_MILLI = 1_000_000;

  private static final long LEASE_NANOS = QuotaPlan.LEASE_MILLIS * NANOS_PER_MILLI;

  /** The time for which a holder that did not answer is asked last, in nanoseconds. */
  private static final long SILENT_NANOS = 1000 * NANOS_PER_MILLI;

  /** The time after which a proxy is asked again that held no slot, in nanoseconds. */
  private static final long NOT_HOLDER_NANOS = 200 * NANOS_PER_MILLI;

  /** The time after which a given back operation may belong to an expired token, in nanoseconds. */
  private static final long GIVE_BACK_NANOS = 10_000 * NANOS_PER_MILLI;

  private static final int MAX_WANTED = 1000;

  /** The tokens that were granted, in the order of their arrival. */
  private final List<Lease> leases = new ArrayList<>();

  /** The requests that still accept a grant, by their identifiers. */
  private final Map<Long, OpenRequest> requests = new HashMap<>();

  /** The holders that are not to be asked for a time, by name. */
  private final Map<String, Pause> pauses = new HashMap<>();

  /** When the reserve was used within the last window. */
  private final Deque<Long> reserveUses = new ArrayDeque<>();

  private long usedAt;

  /** Until then an operation that is given back may have used an expired token. */
  private long noGiveBackUntil;

  /**
   * Creates a borrower without tokens.
   *
   * @param now The monotonic clock reading in nanoseconds.
   */
  public QuotaBorrower(long now) {
    usedAt = now;
    noGiveBackUntil = now;
  }

  /**
   * Takes a token for one operation.
   *
   * @param now The monotonic clock reading in nanoseconds.
   * @return {@code true} if the operation is admitted.
   */
  public boolean tryTake(long now) {
    dropExpired(now);
    Optional<Lease> first = firstToExpire(lease -> lease.left > 0);
    first.ifPresent(lease -> lease.move(-1));
    return first.isPresent();
  }

  /**
   * Gives back the token of an admitted operation that certainly reached no member. It can be used
   * until it expires. Nothing is given back if an operation of the last 10 s, which might be this
   * one, used a token that has expired since, or the reserve.
   *
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void giveBack(long now) {
    dropExpired(now);
    if (now - noGiveBackUntil >= 0) {
      firstToExpire(lease -> lease.taken > 0).ifPresent(lease -> lease.move(1));
    }
  }

  /**
   * Decides whether to ask a holder for tokens now, and records the request.
   *
   * @param id The identifier that the request gets, unique at this proxy.
   * @param holders The holders of the slots, the preferred one first.
   * @param waiting The number of operations that wait for a token.
   * @param now The monotonic clock reading in nanoseconds.
   * @return The request to send, empty if there is none.
   */
  public Optional<Request> nextRequest(long id, List<String> holders, int waiting, long now) {
    dropExpired(now);
    usedAt = now;
    int wanted = Math.min(MAX_WANTED, waiting - available() - awaited());
    if (wanted <= 0) {
      return Optional.empty();
    }
    Optional<String> holder = holders.stream().filter(name -> mayAsk(name, now)).findFirst();
    holder.ifPresent(name -> requests.put(id, new OpenRequest(name, wanted, now)));
    return holder.map(name -> new Request(name, wanted));
  }

  /**
   * Records a grant. One for an unknown or expired request, or a second one, is ignored.
   *
   * @param id The identifier of the request.
   * @param grant The grant.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void onGrant(long id, QuotaGranter.Grant grant, long now) {
    OpenRequest request = requests.remove(id);
    if (request == null) {
      return;
    }
    if (grant.waitMillis() < 0) {
      pauses.put(request.holder, new Pause(now + NOT_HOLDER_NANOS, true));
    } else if (grant.waitMillis() > 0) {
      pauses.put(request.holder, new Pause(now + grant.waitMillis() * NANOS_PER_MILLI, false));
    } else {
      pauses.remove(request.holder);
    }
    long expiresAt = request.sentAt + LEASE_NANOS;
    int tokens = Math.min(grant.tokens(), request.wanted);
    if (tokens > 0 && now - expiresAt < 0) {
      leases.add(new Lease(expiresAt, tokens));
    }
  }

  /**
   * Records that a request was not answered in time; a late grant is still accepted.
   *
   * @param id The identifier of the request.
   * @param now The monotonic clock reading in nanoseconds.
   * @return The holder that was asked, empty if the request was answered before.
   */
  public Optional<String> onTimeout(long id, long now) {
    OpenRequest request = requests.get(id);
    if (request == null) {
      return Optional.empty();
    }
    request.timedOut = true;
    pauses.put(request.holder, new Pause(now + SILENT_NANOS, true));
    return Optional.of(request.holder);
  }

  /**
   * Checks if a grant is awaited.
   *
   * @return {@code true} if a request was neither answered nor timed out.
   */
  public boolean awaitsGrant() {
    return requests.values().stream().anyMatch(request -> !request.timedOut);
  }

  /**
   * Takes an operation out of the reserve of this proxy. It is there for the case that holders are
   * silent.
   *
   * @param share The operations that this proxy may admit out of its reserve in one window.
   * @param windowMillis The length of the window in milliseconds.
   * @param holders The holders of the slots.
   * @param now The monotonic clock reading in nanoseconds.
   * @return {@code true} if the operation is admitted.
   */
  public boolean tryReserve(long share, long windowMillis, List<String> holders, long now) {
    while (!reserveUses.isEmpty()
        && now - reserveUses.getFirst() > windowMillis * NANOS_PER_MILLI) {
      reserveUses.removeFirst();
    }
    boolean silent =
        holders.stream()
            .map(pauses::get)
            .anyMatch(pause -> pause != null && pause.silent && now - pause.until < 0);
    if (!silent || reserveUses.size() >= share) {
      return false;
    }
    reserveUses.addLast(now);
    noGiveBackUntil = now + GIVE_BACK_NANOS;
    return true;
  }

  /**
   * Returns the time after which a refused operation may be admitted.
   *
   * @param holders The holders of the slots.
   * @param now The monotonic clock reading in nanoseconds.
   * @return The time in milliseconds, at least one.
   */
  public long retryAfterMillis(List<String> holders, long now) {
    long nanos =
        holders.stream()
            .map(pauses::get)
            .mapToLong(pause -> pause == null ? 0 : pause.until - now)
            .min()
            .orElse(SILENT_NANOS);
    return Math.max(1, (nanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI);
  }

  /**
   * Checks if nothing is lost by forgetting this borrower.
   *
   * @param windowMillis The length of the window in milliseconds.
   * @param now The monotonic clock reading in nanoseconds.
   * @return {@code true} if it was not used within the last window.
   */
  public boolean isIdle(long windowMillis, long now) {
    dropExpired(now);
    long window = Math.max(windowMillis, GIVE_BACK_NANOS / NANOS_PER_MILLI) * NANOS_PER_MILLI;
    return leases.isEmpty() && requests.isEmpty() && now - usedAt > window;
  }

  private Optional<Lease> firstToExpire(Predicate<Lease> condition) {
    return leases.stream()
        .filter(condition)
        .min(Comparator.comparingLong(lease -> lease.expiresAt));
  }

  private boolean mayAsk(String holder, long now) {
    Pause pause = pauses.get(holder);
    return (pause == null || now - pause.until >= 0)
        && requests.values().stream()
            .noneMatch(request -> !request.timedOut && request.holder.equals(holder));
  }

  private int available() {
    return leases.stream().mapToInt(lease -> lease.left).sum();
  }

  private int awaited() {
    return requests.values().stream()
        .filter(request -> !request.timedOut)
        .mapToInt(request -> request.wanted)
        .sum();
  }

  private void dropExpired(long now) {
    for (Lease lease : leases) {
      if (now - lease.expiresAt >= 0 && lease.taken > 0) {
        noGiveBackUntil = now + GIVE_BACK_NANOS;
      }
    }
    leases.removeIf(lease -> now - lease.expiresAt >= 0);
    requests.values().removeIf(request -> now - request.sentAt >= LEASE_NANOS);
  }

  /**
   * A request for tokens.
   *
   * @param holder The name of the proxy to ask.
   * @param wanted The number of tokens wanted.
   */
  public record Request(String holder, int wanted) {}

  /**
   * A time for which a holder is not asked.
   *
   * @param until When it may be asked again, in nanoseconds of the monotonic clock.
   * @param silent True if it did not answer, or holds no slot.
   */
  private record Pause(long until, boolean silent) {}

  /** Tokens that were granted together. */
  private static final class Lease {

    private final long expiresAt;

    private int left;

    private int taken;

    private Lease(long expiresAt, int left) {
      this.expiresAt = expiresAt;
      this.left = left;
    }

    /** Marks tokens as not used, or as used if the number is negative. */
    private void move(int tokens) {
      left += tokens;
      taken -= tokens;
    }
  }

  /** A request that still accepts a grant. */
  private static final class OpenRequest {

    private final String holder;

    private final int wanted;

    private final long sentAt;

    private boolean timedOut;

    private OpenRequest(String holder, int wanted, long sentAt) {
      this.holder = holder;
      this.wanted = wanted;
      this.sentAt = sentAt;
    }
  }
}
