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

/** The binary {@code hickoryshed-standin}: a database member or the platform as a process. */
public final class StandInMain {

  /** This class is not instantiated. */
  private StandInMain() {}

  /**
   * Runs a stand-in.
   *
   * @param arguments The arguments of the command line.
   */
  public static void main(String[] arguments) {
    Daemon.run(
        "hickoryshed-standin",
        arguments,
        reader -> {
          Kind kind = reader.choice("kind", Kind.class, Kind.MEMBER);
          Service service =
              switch (kind) {
                case MEMBER -> member(reader);
                case PLATFORM -> platform(reader);
              };
          return () -> {
            Kernel kernel = new Kernel();
            kernel.register("stand-in", service);
            Daemon.start(kernel, () -> {});
          };
        });
  }

  /**
   * Reads the settings of a member.
   *
   * @param reader The reader.
   * @return The stand-in.
   */
  private static Service member(SettingsReader reader) {
    InetSocketAddress address = reader.address("address");
    MemberLimits limits =
        new MemberLimits(
            reader.integer("slots", 2, 1, 1000),
            reader.integer("connections", 16, 1, 10_000),
            (int) reader.duration("connect-time", Duration.ofMillis(12)).toMillis(),
            (int) reader.duration("statement-time", Duration.ofMillis(1)).toMillis());
    Map<String, Integer> latencies = new HashMap<>();
    for (String zone : reader.tableNames("latency")) {
      String prefix = reader.text("latency." + zone + ".prefix");
      Duration roundTrip = reader.duration("latency." + zone + ".round-trip", Duration.ZERO);
      latencies.put(prefix, (int) roundTrip.toMillis());
    }
    return new MemberStandIn(reader.text("name"), address, limits, latencies);
  }

  /**
   * Reads the settings of the platform.
   *
   * @param reader The reader.
   * @return The stand-in.
   */
  private static Service platform(SettingsReader reader) {
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

  /** The kind of a stand-in. */
  private enum Kind {

    /** A database member. */
    MEMBER,

    /** The platform's object store and VM list. */
    PLATFORM
  }
}
