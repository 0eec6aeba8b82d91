package org.hickoryshed.proxy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * The settings of a proxy, read once at the start.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param region The region of the VM.
 * @param callerAddress The address of the HTTP API for callers.
 * @param adminAddress The address of the HTTP API for operators.
 * @param peerAddress The address for other processes of this system.
 * @param storeAddress The address of the platform's store, which holds the configuration.
 * @param vmListAddress The address of the platform's VM list.
 * @param seedPeers The addresses of the peers to query while no VM list is known.
 * @param drainDelay The time for which a draining proxy still accepts callers.
 * @param drainBound The longest time to wait for requests in progress while draining.
 * @param catchUpWait The longest time for which a read waits for a replica to catch up.
 * @param bodyLimit The largest body of a request in bytes.
 */
public record ProxySettings(
    String name,
    String domain,
    String region,
    InetSocketAddress callerAddress,
    InetSocketAddress adminAddress,
    InetSocketAddress peerAddress,
    InetSocketAddress storeAddress,
    InetSocketAddress vmListAddress,
    List<InetSocketAddress> seedPeers,
    Duration drainDelay,
    Duration drainBound,
    Duration catchUpWait,
    int bodyLimit) {

  private static final Duration DEFAULT_DRAIN_DELAY = Duration.ofSeconds(2);
  private static final Duration DEFAULT_DRAIN_BOUND = Duration.ofSeconds(30);
  private static final Duration DEFAULT_CATCH_UP_WAIT = Duration.ofMillis(150);
  private static final int DEFAULT_BODY_LIMIT = 1024 * 1024;

  /**
   * Reads the settings.
   *
   * @param reader The source of the values, which collects the problems.
   * @return The settings, to be used only if the reader has no problems.
   */
  public static ProxySettings read(SettingsReader reader) {
    return new ProxySettings(
        reader.text("name"),
        reader.text("domain"),
        reader.text("region"),
        reader.address("caller-address"),
        reader.address("admin-address"),
        reader.address("peer-address"),
        reader.address("platform.store"),
        reader.address("platform.vm-list"),
        reader.addresses("seed-peers"),
        reader.duration("drain.delay", DEFAULT_DRAIN_DELAY),
        reader.duration("drain.bound", DEFAULT_DRAIN_BOUND),
        reader.duration("reads.catch-up-wait", DEFAULT_CATCH_UP_WAIT),
        reader.bytes("body-limit", DEFAULT_BODY_LIMIT));
  }
}
