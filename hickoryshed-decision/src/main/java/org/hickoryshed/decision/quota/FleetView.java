package org.hickoryshed.decision.quota;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.membership.RendezvousHashing;

/**
 * The proxies that may run, as one proxy knows them, and what follows for its part in quotas.
 *
 * <p>The parts of all proxies add up to a quota or less if each of them knows all others that take
 * part, whichever of them it hears. So silent proxies remain in the view for long, and a proxy
 * takes part only once the others know it; see {@link #takesPart}.
 */
public final class FleetView {

  private static final long NANOS_PER_MILLI = 1_000_000;

  /** The time after the list of proxies was read for which the others are awaited at least. */
  private static final long SETTLING_NANOS = 200 * NANOS_PER_MILLI;

  /** The time for which a peer must have known a proxy that was restarted. */
  private static final long ESTABLISHED_MILLIS = 10_000;

  /** The time after which a new proxy takes part although it does not hear most others. */
  private static final long NEWCOMER_NANOS = 60_000 * NANOS_PER_MILLI;

  /** The part of the others that a new proxy must have heard, in percent. */
  private static final int HEARD_PERCENT = 90;

  /** The silence after which a proxy is forgotten. */
  private static final long FORGET_NANOS = 3_600_000 * NANOS_PER_MILLI;

  /** The time without half of the fleet after which a proxy takes part no more. */
  private static final long MINORITY_NANOS = 3_000_000 * NANOS_PER_MILLI;

  /** The number of orders that are kept, two for a workspace. */
  private static final int MAX_ORDERS = 1000;

  private final String self;

  private final long startedAt;

  /** The proxies by name, this one included. */
  private final Map<String, Proxy> proxies = new HashMap<>();

  /** The orders of the proxies by what they are for, valid for the present view. */
  private final Map<String, List<String>> orders = new HashMap<>();

  /** When the list of all proxies was read, which names this one too; empty until then. */
  private Optional<Long> listedAt = Optional.empty();

  private boolean established;

  private boolean joined;

  private long changedAt;

  /**
   * Creates the view of a proxy that has just started.
   *
   * @param self The name of the proxy.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public FleetView(String self, long now) {
    this.self = self;
    startedAt = now;
    changedAt = now;
    proxies.put(self, new Proxy(now));
  }

  /**
   * Records that the list of all proxies names a proxy. Once it names this one, the whole list is
   * taken to be known.
   *
   * @param name The name of the proxy.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void onNamed(String name, long now) {
    if (name.equals(self)) {
      listedAt = listedAt.or(() -> Optional.of(now));
    } else if (!proxies.containsKey(name)) {
      add(name, now);
    }
  }

  /**
   * Records that a message of another proxy arrived.
   *
   * @param name The name of the proxy.
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void onHeard(String name, long now) {
    if (!proxies.containsKey(name)) {
      add(name, now);
    }
    Proxy proxy = proxies.get(name);
    proxy.heard = true;
    proxy.heardAt = now;
  }

  /**
   * Records for how long another proxy has known this one, which tells a restart from a new proxy.
   *
   * @param knownMillis The time in milliseconds.
   */
  public void onKnownFor(long knownMillis) {
    established |= knownMillis >= ESTABLISHED_MILLIS;
  }

  /**
   * Returns for how long a proxy has been known.
   *
   * @param name The name of the proxy.
   * @param now The monotonic clock reading in nanoseconds.
   * @return The time in milliseconds, zero if it is not known.
   */
  public long knownMillis(String name, long now) {
    return Optional.ofNullable(proxies.get(name))
        .map(proxy -> (now - proxy.knownSince) / NANOS_PER_MILLI)
        .orElse(0L);
  }

  /**
   * Checks if a proxy is in the view.
   *
   * @param name The name of the proxy.
   * @return {@code true} if it may run.
   */
  public boolean knows(String name) {
    return proxies.containsKey(name);
  }

  /**
   * Checks if this proxy may grant tokens and use its reserve: it knows the list of all proxies,
   * and the others know it, since it was restarted, or since it has heard them.
   *
   * @param now The monotonic clock reading in nanoseconds.
   * @return {@code true} if it takes part.
   */
  public boolean takesPart(long now) {
    if (!joined) {
      joined =
          listedAt.filter(at -> now - at >= SETTLING_NANOS).isPresent()
              && (established || hearsMost() || now - startedAt >= NEWCOMER_NANOS);
      if (joined) {
        changedAt = now;
      }
    }
    if (joined && now - startedAt >= MINORITY_NANOS && 2 * recent(now) < proxies.size()) {
      // Others may have forgotten this proxy; its part starts empty when it is back.
      changedAt = now;
      return false;
    }
    return joined;
  }

  /**
   * Returns the time from which on the present view holds. What a proxy owns only since then starts
   * empty.
   *
   * @return The monotonic clock reading in nanoseconds.
   */
  public long changedAt() {
    return changedAt;
  }

  /**
   * Returns the number of proxies in the view.
   *
   * @return The number, including this proxy.
   */
  public int size() {
    return proxies.size();
  }

  /**
   * Returns the proxies that hold slots of a workspace.
   *
   * @param workspace The name of the workspace.
   * @param slots The number of slots.
   * @return The names of the proxies, fewer than there are slots if there are fewer proxies.
   */
  public List<String> holders(String workspace, int slots) {
    List<String> order = order("slots/" + workspace);
    return order.subList(0, Math.min(slots, order.size()));
  }

  /**
   * Returns the number of slots of a workspace that this proxy holds. It holds more than one only
   * if there are fewer proxies than slots.
   *
   * @param workspace The name of the workspace.
   * @param slots The number of slots.
   * @return The number of slots.
   */
  public int slotsHeld(String workspace, int slots) {
    int rank = order("slots/" + workspace).indexOf(self);
    return rank < slots ? (slots - 1 - rank) / proxies.size() + 1 : 0;
  }

  /**
   * Returns the operations that this proxy may admit out of the reserve of a workspace in one
   * window. There are none until the uses under an earlier view, or in an earlier run, are outside
   * of the window.
   *
   * @param workspace The name of the workspace.
   * @param plan The plan in force for it.
   * @param now The monotonic clock reading in nanoseconds.
   * @return The number of operations.
   */
  public long reserveShare(String workspace, QuotaPlan plan, long now) {
    if (!takesPart(now) || now - changedAt <= plan.windowMillis() * NANOS_PER_MILLI) {
      return 0;
    }
    return plan.reserveOf(order("reserve/" + workspace).indexOf(self), proxies.size());
  }

  /**
   * Forgets proxies that were silent for long, unless that may be because this proxy is cut off; to
   * be called about once a second.
   *
   * @param now The monotonic clock reading in nanoseconds.
   */
  public void tidy(long now) {
    if (orders.size() > MAX_ORDERS) {
      orders.clear();
    }
    if (2 * recent(now) > proxies.size()
        && proxies
            .entrySet()
            .removeIf(
                entry ->
                    !entry.getKey().equals(self)
                        && now - entry.getValue().heardAt > FORGET_NANOS)) {
      orders.clear();
      changedAt = now;
    }
  }

  private List<String> order(String purpose) {
    return orders.computeIfAbsent(
        purpose, key -> RendezvousHashing.order(key, proxies.keySet(), name -> name));
  }

  private void add(String name, long now) {
    proxies.put(name, new Proxy(now));
    orders.clear();
    changedAt = now;
  }

  private boolean hearsMost() {
    long heard = proxies.values().stream().filter(proxy -> proxy.heard).count();
    return 100 * heard >= HEARD_PERCENT * (proxies.size() - 1);
  }

  /** Counts the proxies that were heard lately, this one included. */
  private long recent(long now) {
    return 1
        + proxies.entrySet().stream()
            .filter(entry -> !entry.getKey().equals(self))
            .filter(entry -> entry.getValue().heard)
            .filter(entry -> now - entry.getValue().heardAt < MINORITY_NANOS)
            .count();
  }

  /** What is known of a proxy. */
  private static final class Proxy {

    private final long knownSince;

    /** True if a message of it arrived. */
    private boolean heard;

    /** When the last message arrived, or when the proxy became known. */
    private long heardAt;

    private Proxy(long now) {
      knownSince = now;
      heardAt = now;
    }
  }
}
