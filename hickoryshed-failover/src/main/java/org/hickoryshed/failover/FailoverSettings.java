package org.hickoryshed.failover;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.hickoryshed.decision.failover.SuspicionTimeouts;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * The settings of a failover process, read from its TOML file.
 *
 * @param name The name of the VM, as in the VM list.
 * @param domain The failure domain of the VM.
 * @param peerAddress The address on which other failover processes reach this one.
 * @param adminAddress The address of the HTTP server for operators.
 * @param proxies The proxies to poll for the configuration and the VM list, in this order; the
 *     proxy of the own VM comes first.
 * @param probeInterval The interval at which members are considered for a probe.
 * @param probeTimeout The timeout of one probe.
 * @param suspicionTimeouts The times after which a primary is suspected of having failed.
 */
record FailoverSettings(
    String name,
    String domain,
    InetSocketAddress peerAddress,
    InetSocketAddress adminAddress,
    List<InetSocketAddress> proxies,
    Duration probeInterval,
    Duration probeTimeout,
    SuspicionTimeouts suspicionTimeouts) {

  private static final Duration PROBE_INTERVAL = Duration.ofMillis(100);

  private static final Duration PROBE_TIMEOUT = Duration.ofMillis(300);

  /** The default time without an answer after which the primary is suspected. */
  private static final Duration SILENT = Duration.ofMillis(500);

  /** The default time of refused connections after which the primary is suspected. */
  private static final Duration REFUSED = Duration.ofMillis(150);

  /** The default time without replication progress after which the primary is suspected. */
  private static final Duration STALLED = Duration.ofMillis(2000);

  /** The default additional delay of each candidate after the one ranked before it. */
  private static final Duration RANK_STEP = Duration.ofMillis(150);

  /**
   * Reads the settings.
   *
   * @param reader The reader, which collects the problems that it finds.
   * @return The settings; meaningless if the reader has found problems.
   */
  static FailoverSettings read(SettingsReader reader) {
    SuspicionTimeouts suspicionTimeouts =
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
        suspicionTimeouts);
  }
}
