package org.hickoryshed.session.promotion;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.member.MemberContext;

/**
 * Probes the primary of a pool for a vote.
 *
 * <p>All methods run on the event loop.
 */
final class PrimaryProbe {

  /**
   * The time for a primary to respond to a probe, in milliseconds. The assumed round-trip latency
   * to the primary is added to it.
   */
  private static final long PROBE_TIMEOUT_MILLIS = 160;

  private final MemberContext context;

  private final Function<String, Optional<Database>> databases;

  PrimaryProbe(MemberContext context, Function<String, Optional<Database>> databases) {
    this.context = context;
    this.databases = databases;
  }

  /**
   * Checks if the primary of a pool responds to this proxy.
   *
   * <p>If this proxy knows another primary than the requesting one, the result is {@code true}: the
   * suspicion is about a primary that has been replaced.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the primary that the requesting proxy knows, empty if it knows
   *     none.
   * @param result Receives whether the primary responds.
   */
  void start(String pool, String member, Consumer<Boolean> result) {
    Optional<MemberConnectionPool> primary =
        databases.apply(pool).flatMap(Database::claimedPrimary);
    if (primary.isEmpty()) {
      result.accept(false);
    } else if (!member.isEmpty() && !primary.get().entry().id().equals(member)) {
      result.accept(true);
    } else {
      long roundTripMillis = 2 * context.oneWayLatencyMillis(primary.get().entry().domain());
      primary.get().requests().probe(PROBE_TIMEOUT_MILLIS + roundTripMillis, result);
    }
  }
}
