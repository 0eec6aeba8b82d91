package org.hickoryshed.standin;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.service.Kernel;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.hickoryshed.standin.member.MemberLimits;
import org.hickoryshed.standin.member.MemberStandIn;
import org.hickoryshed.standin.platform.PlatformStandIn;

/**
 * The entry point of the binary {@code hickoryshed-standin}, which simulates a database member or
 * the platform, depending on the setting {@code kind}.
 */
public final class StandInMain {

  private StandInMain() {}

  /**
   * Runs a stand-in until it is stopped by a signal.
   *
   * @param arguments The command-line arguments.
   */
  public static void main(String[] arguments) {
    Daemon.run(
        "hickoryshed-standin",
        arguments,
        reader -> {
          Kind kind = reader.choice("kind", Kind.class, Kind.MEMBER);
          Service service =
              switch (kind) {
                case MEMBER -> createMember(reader);
                case PLATFORM -> createPlatform(reader);
              };
          return () -> {
            Kernel kernel = new Kernel();
            kernel.register("stand-in", service);
            Daemon.start(kernel, () -> {});
          };
        });
  }

  /** Creates a member from its settings. */
  private static Service createMember(SettingsReader reader) {
    InetSocketAddress address = reader.address("address");
    MemberLimits limits =
        new MemberLimits(
            reader.integer("slots", 2, 1, 1000),
            reader.integer("connections", 16, 1, 10_000),
            (int) reader.duration("connect-time", Duration.ofMillis(12)).toMillis(),
            (int) reader.duration("statement-time", Duration.ofMillis(1)).toMillis());
    Map<String, Integer> latencies = new HashMap<>();
    for (String source : reader.tableNames("latency")) {
      String prefix = reader.text("latency." + source + ".prefix");
      Duration roundTrip = reader.duration("latency." + source + ".round-trip", Duration.ZERO);
      latencies.put(prefix, (int) roundTrip.toMillis());
    }
    return new MemberStandIn(reader.text("name"), address, limits, latencies);
  }

  /** Creates the platform from its settings. */
  private static Service createPlatform(SettingsReader reader) {
    List<Vm> vms = new ArrayList<>();
    for (String name : reader.tableNames("vms")) {
      String key = "vms." + name + ".";
      vms.add(
          new Vm(
              name,
              reader.text(key + "domain"),
              reader.text(key + "peer-address"),
              reader.text(key + "failover-address"),
              reader.flag(key + "leaving", false)));
    }
    return new PlatformStandIn(reader.address("address"), new VmList(1, vms, List.of()));
  }

  /** What a stand-in simulates. The constants are values of the setting {@code kind}. */
  private enum Kind {
    MEMBER,

    PLATFORM
  }
}
