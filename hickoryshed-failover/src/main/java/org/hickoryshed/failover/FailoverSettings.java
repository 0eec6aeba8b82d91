package org.hickoryshed.failover;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.hickoryshed.decision.failover.SuspicionTimeouts;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * The settings of a failover process.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param peerAddress The address for other failover processes.
 * @param adminAddress The address for operators.
 * @param proxies The addresses of proxies to ask for documents, the own VM's first.
 * @param probeInterval The time between two questions to a member.
 * @param probeTimeout The longest time to wait for a member.
 * @param limits The limits of suspicions.
 */
record FailoverSettings(
    String name,
    String domain,
    InetSocketAddress peerAddress,
    InetSocketAddress adminAddress,
    List<InetSocketAddress> proxies,
    Duration probeInterval,
    Duration probeTimeout,
    SuspicionTimeouts limits) {

  /** The default time between two questions to a member. */
  private static final Duration PROBE_INTERVAL = Duration.ofMillis(100);

  /** The default longest time to wait for a member. */
  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

  /** The default time after which a silent primary is suspected. */
  private static final Duration SILENT = Duration.ofMillis(500);

  /** The default time after which a refusing primary is suspected. */
  private static final Duration REFUSED = Duration.ofMillis(150);

  /** The default time without replication progress after which a primary is suspected. */
  private static final Duration STALLED = Duration.ofMillis(2000);

  /** The default time that each candidate waits longer than the one before it. */
  private static final Duration RANK_STEP = Duration.ofMillis(150);

  /**
   * Reads the settings.
   *
   * @param reader The reader, which collects the problems.
   * @return The settings, to be used only if there are no problems.
   */
  static FailoverSettings read(SettingsReader reader) {
    SuspicionTimeouts limits =
        new SuspicionTimeouts(
            reader.duration("suspicion.silent", SILENT).toMillis(),
            reader.duration("suspicion.refused", REFUSED).toMillis(),
            reader.duration("suspicion.stalled", STALLED).toMillis(),
            reader.duration("suspicion.rank-step", RANK_STEP).toMillis());
    return new FailoverSettings(
        reader.text("name"),
        reader.text("domain"),
        reader.address("peer-address"),
        reader.address("admin-address"),
        reader.addresses("proxies"),
        reader.duration("probe.interval", PROBE_INTERVAL),
        reader.duration("probe.timeout", PROBE_TIMEOUT),
        limits);
  }
}
