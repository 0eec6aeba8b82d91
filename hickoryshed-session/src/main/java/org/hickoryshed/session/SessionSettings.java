package org.hickoryshed.session;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.balancing.BalancingMode;
import org.hickoryshed.decision.quota.QuotaBounds;
import org.hickoryshed.kernel.settings.SettingsReader;

/**
 * The settings of a process that serves sessions.
 *
 * <p>The reload log line prints this record, so its name and the names of its components are
 * visible to operators.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param regions The regions by the names of their failure domains.
 * @param callerAddress The address to accept sessions of callers on.
 * @param adminAddress The address of the readiness probe and the metrics.
 * @param peerAddress The address to receive messages of other proxies on.
 * @param seeds Addresses where other proxies may listen, tried before the store lists them.
 * @param storeAddress The address of the platform's store.
 * @param promotionAddress The address of the platform's promotion service.
 * @param fencing {@code true} if the platform keeps a replaced primary from committing writes;
 *     otherwise the proxies see to it.
 * @param memberDrainPeriod The time after which a leaving member gets no statements any more.
 * @param shutdownGrace The time between the request to stop and the end of the process.
 * @param keptConnections The number of connections to a member that stay open while idle.
 * @param sessionLimit The highest number of open sessions; further ones are refused.
 * @param quota How exactly the quotas of workspaces are kept; empty if they are not.
 * @param balancing How the member that serves a read is chosen.
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
    boolean fencing,
    Duration memberDrainPeriod,
    Duration shutdownGrace,
    int keptConnections,
    int sessionLimit,
    Optional<QuotaBounds> quota,
    BalancingMode balancing) {

  private static final Duration DEFAULT_MEMBER_DRAIN_PERIOD = Duration.ofSeconds(7);

  private static final Duration DEFAULT_SHUTDOWN_GRACE = Duration.ofSeconds(6);

  private static final int DEFAULT_KEPT_CONNECTIONS = 1;

  private static final int DEFAULT_SESSION_LIMIT = 3000;

  /** The largest value that the settings of numbers of connections and sessions accept. */
  private static final int MAX_COUNT = 100_000;

  private static final double MAX_OVERSHOOT = 10;

  /**
   * Reads the settings.
   *
   * @param reader The reader, which collects the problems it finds.
   * @return The settings, to be used only if the reader found no problems.
   */
  public static SessionSettings read(SettingsReader reader) {
    Map<String, String> regions = new HashMap<>();
    for (String domain : reader.tableNames("domains")) {
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
        peerSeeds(reader.addresses("seeds"), peerAddress),
        reader.address("platform.store"),
        reader.address("platform.promotion"),
        reader.flag("platform.fencing", false),
        reader.duration("member-drain-period", DEFAULT_MEMBER_DRAIN_PERIOD),
        reader.duration("shutdown-grace", DEFAULT_SHUTDOWN_GRACE),
        reader.integer("kept-connections", DEFAULT_KEPT_CONNECTIONS, 1, MAX_COUNT),
        reader.integer("session-limit", DEFAULT_SESSION_LIMIT, 1, MAX_COUNT),
        readQuota(reader),
        reader.choice("balancing", BalancingMode.class, BalancingMode.AUTO));
  }

  /**
   * Combines these settings with those that may change while the process runs.
   *
   * @param newer The settings read last.
   * @return The newer settings, except that the name, the failure domain, the regions, the
   *     addresses to listen on and the bounds of quotas stay as they are here.
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
        newer.fencing,
        newer.memberDrainPeriod,
        newer.shutdownGrace,
        newer.keptConnections,
        newer.sessionLimit,
        quota,
        newer.balancing);
  }

  private static Optional<QuotaBounds> readQuota(SettingsReader reader) {
    return reader
        .optionalDuration("quota.window")
        .map(
            window ->
                new QuotaBounds(
                    window.toMillis(),
                    reader.number("quota.overshoot", 0, 0, MAX_OVERSHOOT),
                    reader.integer("quota.slack", 0, 0, MAX_COUNT)));
  }

  /**
   * Derives the peer addresses of other proxies from the seeds. A seed may name any service of a
   * VM; only its host is used, since all proxies listen for each other on the same port.
   */
  private static List<InetSocketAddress> peerSeeds(
      List<InetSocketAddress> seeds, InetSocketAddress peerAddress) {
    return seeds.stream()
        .filter(seed -> !seed.getAddress().equals(peerAddress.getAddress()))
        .map(seed -> new InetSocketAddress(seed.getAddress(), peerAddress.getPort()))
        .toList();
  }
}
