package org.hickoryshed.session.member;

import java.time.Duration;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.hickoryshed.decision.balancing.BalancingMode;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.WireFormat;

/**
 * The dependencies that all connection pools of a process share.
 *
 * @param processName The name of this process, by which members and other proxies know it.
 * @param domain The failure domain of this process.
 * @param regions The region of each failure domain, by the name of the domain.
 * @param fencedByPlatform Tells if a replaced primary refuses writes without being told to.
 * @param drainPeriod Supplies the time after which a leaving member gets no statements any more.
 * @param sharing Supplies the connection sharing, which is created after this record.
 * @param balancing Supplies how the member that serves a read is chosen.
 * @param loop The event loop that owns all connections.
 * @param wireFormat The format of the messages to and from members.
 * @param preparedStatementNames The names of prepared statements, the same at all members.
 */
public record MemberContext(
    String processName,
    String domain,
    Map<String, String> regions,
    BooleanSupplier fencedByPlatform,
    Supplier<Duration> drainPeriod,
    Supplier<ConnectionSharing> sharing,
    Supplier<BalancingMode> balancing,
    EventLoop loop,
    WireFormat wireFormat,
    EventLog log,
    Metrics metrics,
    PreparedStatementNames preparedStatementNames) {

  /** The assumed one-way latency between two failure domains of a region. */
  private static final long SAME_REGION_MILLIS = 1;

  /** The assumed one-way latency between two regions. */
  private static final long OTHER_REGION_MILLIS = 8;

  /** A connection to a member that has more unsent bytes than this is closed. */
  private static final int MAX_UNSENT_BYTES = 4 * 1024 * 1024;

  /** Returns the buffer limits of a connection to a member. */
  Connection.Limits bufferLimits() {
    return new Connection.Limits(wireFormat.maxMessageBytes() + 2, MAX_UNSENT_BYTES);
  }

  ConnectionSharing connectionSharing() {
    return sharing.get();
  }

  /** Checks if a failure domain lies in the region of this process; unknown domains do not. */
  boolean isSameRegion(String other) {
    String own = regions.get(domain);
    return own != null && own.equals(regions.get(other));
  }

  /**
   * Returns the assumed one-way network latency to a failure domain.
   *
   * @return The latency in milliseconds, zero for the domain of this process.
   */
  public long oneWayLatencyMillis(String other) {
    if (other.equals(domain)) {
      return 0;
    }
    return isSameRegion(other) ? SAME_REGION_MILLIS : OTHER_REGION_MILLIS;
  }
}
