package org.hickoryshed.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * The settings of a process that serves sessions.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param regions The regions by the names of their failure domains.
 * @param callerAddress The address for callers.
 * @param adminAddress The address for readiness and metrics.
 * @param peerAddress The address for the other proxies.
 * @param seeds The addresses at which other proxies may be found before the store answers.
 * @param storeAddress The address of the platform's store.
 * @param promotionAddress The address of the platform's service for promotions.
 * @param shutdownGrace The time between the request to stop and the end of the process.
 * @param keptConnections The number of connections to a member that stay open while idle.
 * @param sessionLimit The highest number of sessions.
 */
public record SessionSettings(
    String name,
    String domain,
    Map<String, String> regions,
    InetSocketAddress callerAddress,
    InetSocketAddress adminAddress,
    InetSocketAddress peerAddress,
    List<InetSocketAddress> seeds,
    InetSocketAddress storeAddress,
    InetSocketAddress promotionAddress,
    Duration shutdownGrace,
    int keptConnections,
    int sessionLimit) {

  /** The default time between the request to stop and the end of the process. */
  private static final Duration SHUTDOWN_GRACE = Duration.ofSeconds(6);

  /** The default number of connections to a member that stay open while idle. */
  private static final int KEPT_CONNECTIONS = 1;

  /** The default highest number of sessions. */
  private static final int SESSION_LIMIT = 3000;

  /** The largest number of connections or sessions that can be set. */
  private static final int LARGEST = 100_000;

  /**
   * Reads the settings.
   *
   * @param reader The reader, which collects the problems.
   * @return The settings, to be used only if there are no problems.
   */
  public static SessionSettings read(SettingsReader reader) {
    Map<String, String> regions = new HashMap<>();
    for (String domain : reader.tables("domains")) {
      regions.put(domain, reader.text("domains." + domain + ".region"));
    }
    InetSocketAddress peerAddress = reader.address("peer-address");
    return new SessionSettings(
        reader.text("name"),
        reader.text("domain"),
        Map.copyOf(regions),
        reader.address("caller-address"),
        reader.address("admin-address"),
        peerAddress,
        seeds(reader.addresses("seeds"), peerAddress),
        reader.address("platform.store"),
        reader.address("platform.promotion"),
        reader.duration("shutdown-grace", SHUTDOWN_GRACE),
        reader.integer("kept-connections", KEPT_CONNECTIONS, 1, LARGEST),
        reader.integer("session-limit", SESSION_LIMIT, 1, LARGEST));
  }

  /**
   * Takes what may change while the process runs from newer settings.
   *
   * @param newer The newer settings.
   * @return These settings with the name, the place and the own addresses that they had.
   */
  public SessionSettings withReloadableSettingsOf(SessionSettings newer) {
    return new SessionSettings(
        name,
        domain,
        regions,
        callerAddress,
        adminAddress,
        peerAddress,
        newer.seeds,
        newer.storeAddress,
        newer.promotionAddress,
        newer.shutdownGrace,
        newer.keptConnections,
        newer.sessionLimit);
  }

  /**
   * Finds where other proxies may be. All proxies listen for each other on the same port, whichever
   * service of their VMs a seed names.
   *
   * @param seeds The addresses of some VMs.
   * @param peerAddress The own address for the other proxies.
   * @return The addresses for proxies on the other VMs.
   */
  private static List<InetSocketAddress> seeds(
      List<InetSocketAddress> seeds, InetSocketAddress peerAddress) {
    return seeds.stream()
        .filter(seed -> !seed.getAddress().equals(peerAddress.getAddress()))
        .map(seed -> new InetSocketAddress(seed.getAddress(), peerAddress.getPort()))
        .toList();
  }
}
