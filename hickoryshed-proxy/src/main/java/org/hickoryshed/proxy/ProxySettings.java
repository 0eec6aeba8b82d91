package org.hickoryshed.proxy;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * The settings of a proxy.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param region The region of the VM.
 * @param callerAddress The address for callers.
 * @param adminAddress The address for operators.
 * @param peerAddress The address for the system's own processes.
 * @param storeAddress The address of the platform's store.
 * @param vmListAddress The address of the platform's VM list.
 * @param seedPeers The addresses of peers to ask before a VM list is known.
 * @param drainDelay The time for which a stopping proxy goes on accepting.
 * @param drainBound The longest time to wait for requests in flight.
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

  /** The default time for which a stopping proxy goes on accepting. */
  private static final Duration DRAIN_DELAY = Duration.ofSeconds(2);

  /** The default bound of the wait for requests in flight. */
  private static final Duration DRAIN_BOUND = Duration.ofSeconds(30);

  /** The default wait for a replica. */
  private static final Duration CATCH_UP_WAIT = Duration.ofMillis(150);

  /** The default largest body in bytes. */
  private static final int BODY_LIMIT = 1024 * 1024;

  /**
   * Reads the settings.
   *
   * @param reader The reader, which collects the problems.
   * @return The settings, to be used only if there are no problems.
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
        reader.duration("drain.delay", DRAIN_DELAY),
        reader.duration("drain.bound", DRAIN_BOUND),
        reader.duration("reads.catch-up-wait", CATCH_UP_WAIT),
        reader.bytes("body-limit", BODY_LIMIT));
  }
}
