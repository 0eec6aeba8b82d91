package org.hickoryshed.session.member;

import java.util.Map;
import java.util.function.Supplier;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.net.Connection;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.wire.WireFormat;

/**
 * What all pools of a process share.
 *
 * @param processName The name of this process.
 * @param domain The failure domain of this process.
 * @param regions The regions by the names of their failure domains.
 * @param paths The source of the ways through other proxies.
 * @param loop The event loop.
 * @param format The format of the messages.
 * @param log The log.
 * @param metrics The metrics.
 * @param preparedNames The names of prepared statements at members.
 */
public record MemberContext(
    String processName,
    String domain,
    Map<String, String> regions,
    Supplier<ConnectionSharing> paths,
    EventLoop loop,
    WireFormat format,
    EventLog log,
    Metrics metrics,
    PreparedStatementNames preparedNames) {

  /** The assumed time between two failure domains of a region in milliseconds, one way. */
  private static final long REGION_MILLIS = 1;

  /** The assumed time between two regions in milliseconds, one way. */
  private static final long FAR_MILLIS = 8;

  /** The highest number of bytes that wait to be sent to a member. */
  private static final int MEMBER_OUTPUT_BYTES = 4 * 1024 * 1024;

  /**
   * Returns the limits of the buffers of a connection to a member.
   *
   * @return The limits.
   */
  Connection.Limits memberLimits() {
    return new Connection.Limits(format.maxMessageBytes() + 2, MEMBER_OUTPUT_BYTES);
  }

  /**
   * Returns the ways through other proxies.
   *
   * @return The ways.
   */
  ConnectionSharing memberPaths() {
    return paths.get();
  }

  /**
   * Checks if a failure domain lies in the region of this process.
   *
   * @param other The failure domain.
   * @return {@code true} if no link between regions has to be crossed.
   */
  boolean isSameRegion(String other) {
    String own = regions.get(domain);
    return own != null && own.equals(regions.get(other));
  }

  /**
   * Returns the assumed time to a failure domain.
   *
   * @param other The failure domain.
   * @return The time in milliseconds, one way.
   */
  public long oneWayLatencyMillis(String other) {
    if (other.equals(domain)) {
      return 0;
    }
    return isSameRegion(other) ? REGION_MILLIS : FAR_MILLIS;
  }
}
