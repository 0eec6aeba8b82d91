package org.hickoryshed.load.benchmark;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntConsumer;
import java.util.stream.IntStream;
import org.hickoryshed.decision.commit.Confirmation;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.ConfigurationValidator;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.failover.FailoverCandidates;
import org.hickoryshed.decision.failover.PrimaryFailureDetector;
import org.hickoryshed.decision.failover.SuspicionTimeouts;
import org.hickoryshed.decision.membership.DistributionTree;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.decision.pool.Command;
import org.hickoryshed.decision.pool.MemberScheduler;
import org.hickoryshed.decision.pool.PoolLimits;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.pool.WorkOutcome;
import org.hickoryshed.decision.route.DatabaseSelector;
import org.hickoryshed.decision.route.MemberSelector;
import org.hickoryshed.decision.topology.DatabaseView;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;
import org.hickoryshed.kernel.event.HybridTime;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.protocol.message.Frame;
import org.hickoryshed.protocol.message.FrameCodec;
import org.hickoryshed.protocol.message.Message;

/**
 * Measures how long pure decisions and codecs take. Those whose cost depends on the number of
 * databases or VMs are measured at today's size and at the target size.
 */
public final class Microbenchmarks {

  /** The number of failure domains that members and VMs are spread over. */
  private static final int FAILURE_DOMAINS = 4;

  /** The time in nanoseconds for which each step is repeated, once to warm up and once measured. */
  private static final long REPEAT_NANOS = 400_000_000;

  /** The timeouts of the measured failure detector, the defaults of a failover process. */
  private static final SuspicionTimeouts TIMEOUTS = new SuspicionTimeouts(500, 150, 2_000, 150);

  /** Collects results, so that the JIT compiler cannot remove a loop as dead code. */
  private int sink;

  /** Runs all benchmarks and prints a table of their mean times in nanoseconds. */
  public void run() {
    System.out.printf("%-52s %14s%n", "decision or codec", "ns each");
    measureScheduler(0);
    measureScheduler(200);
    for (int databases : List.of(3, 3_000)) {
      Configuration configuration = configuration(databases);
      int bytes = Json.write(configuration).length;
      System.out.printf("%-52s %14d%n", "bytes of a configuration, databases: " + databases, bytes);
      measure(
          "validate a configuration, databases: " + databases,
          step -> sink += ConfigurationValidator.validate(configuration).size());
      measure(
          "look up a database, databases: " + databases,
          step -> sink += configuration.database("d-" + (databases - 1)).hashCode());
    }
    for (int vms : List.of(7, 2_100)) {
      VmList list = vmList(vms);
      System.out.printf("%-52s %14d%n", "bytes of a VM list, VMs: " + vms, Json.write(list).length);
      measure(
          "failover candidates of a database, VMs: " + vms,
          step -> sink += FailoverCandidates.of("d-" + step % 64, list).size());
      measure(
          "position in the distribution tree, VMs: " + vms,
          step -> sink += DistributionTree.of(list, "domain-0", "vm-4").isWatcher() ? 1 : 0);
    }
    measureRequestPath();
  }

  /** Measures what a proxy or a failover process does for each request or status. */
  private void measureRequestPath() {
    Pool pool = configuration(3).pools().getFirst();
    Database database = pool.databases().getFirst();
    DatabaseView view = DatabaseView.EMPTY.with(statuses(5));
    MemberSelector selector = new MemberSelector("domain-0", "region-0");
    measure(
        "select a database", step -> sink += DatabaseSelector.select(pool, "p" + step).hashCode());
    measure(
        "select members for a read",
        step -> sink += selector.forRead(database, view, Set.of(), false).size());
    LogPosition position = new LogPosition(5, 90);
    measure(
        "confirm a log position",
        step -> sink += Confirmation.of(position, view.statuses().values(), 3).ordinal());
    PrimaryFailureDetector detector = new PrimaryFailureDetector(TIMEOUTS, 3, 0);
    List<MemberStatus> statuses = statuses(5);
    measure(
        "process and evaluate a status",
        step -> {
          detector.onStatus(statuses.get(step % 3), step);
          sink += detector.evaluate(0, step).ordinal();
        });
    Frame frame =
        new Frame(
            1, true, new HybridTime(1, 1), new Message.Status(Optional.of(statuses.getFirst())));
    measure("encode and decode a status frame", step -> sink += writeAndRead(frame));
    System.out.printf("%-52s %14d%n", "bytes of a status frame", encode(frame).length);
  }

  /** Measures the scheduler while a number of units of work is waiting. */
  private void measureScheduler(int waiting) {
    PoolLimits limits =
        new PoolLimits(16, 2, Pool.Scheduling.SHORT_FIRST, 50, 4_096, 1_000_000_000L);
    MemberScheduler scheduler = new MemberScheduler(limits);
    List<Command> opened = scheduler.onArrival(work(0));
    for (Command command : opened) {
      if (command instanceof Command.Connect(long connection)) {
        scheduler.onConnected(connection, 0);
      }
    }
    for (int id = 1; id <= waiting + 1; id++) {
      scheduler.onArrival(work(id));
    }
    long[] next = {waiting + 2, 0};
    measure(
        "schedule and finish work, waiting: " + waiting,
        step -> {
          scheduler.onArrival(work(next[0]++));
          sink += scheduler.onFinished(next[1]++, WorkOutcome.ANSWERED, 1).size();
        });
  }

  private static Work work(long id) {
    return new Work(id, "route/statement", Work.Kind.READ, 0, 1, 1, Long.MAX_VALUE / 2);
  }

  /** Repeats a step, first as warm-up, and prints its mean time. */
  private static void measure(String name, IntConsumer step) {
    repeat(step);
    System.out.printf("%-52s %14.0f%n", name, repeat(step));
  }

  /**
   * Repeats a step for a fixed time.
   *
   * @param step The step, called with the number of the repetition.
   * @return The mean time in nanoseconds.
   */
  private static double repeat(IntConsumer step) {
    long start = System.nanoTime();
    int count = 0;
    while (System.nanoTime() - start < REPEAT_NANOS) {
      step.accept(count++);
    }
    return (double) (System.nanoTime() - start) / count;
  }

  /** Creates a configuration with one pool and one route. */
  private static Configuration configuration(int databases) {
    List<Database> databaseList = new ArrayList<>();
    for (int number = 0; number < databases; number++) {
      int database = number;
      List<Member> members =
          IntStream.range(0, 3)
              .mapToObj(
                  member ->
                      new Member(
                          "d-" + database + "-" + member,
                          "10.0.%d.%d:5432".formatted(database % 250, member),
                          "domain-" + (database + member) % FAILURE_DOMAINS,
                          "region-" + member % 2))
              .toList();
      databaseList.add(new Database("d-" + number, members));
    }
    Pool pool = new Pool("p", databaseList, 16, 2, Pool.Scheduling.SHORT_FIRST, 50);
    Route route =
        new Route("r", "p", Route.Access.READ, Route.Reads.REPLICAS, Optional.empty(), 1_000, 1);
    return new Configuration(1, "edit", List.of(route), List.of(pool));
  }

  private static VmList vmList(int count) {
    List<Vm> vms =
        IntStream.range(0, count)
            .mapToObj(
                number ->
                    new Vm(
                        "vm-" + number,
                        "domain-" + number % FAILURE_DOMAINS,
                        "10.1.0.1:7001",
                        "10.1.0.1:7002",
                        false))
            .toList();
    return new VmList(1, vms, List.of());
  }

  /** Creates the statuses of a healthy database with three members. */
  private static List<MemberStatus> statuses(long term) {
    return IntStream.range(0, 3)
        .mapToObj(
            member ->
                new MemberStatus(
                    "d-0-" + member,
                    member == 0 ? Role.PRIMARY : Role.REPLICA,
                    term,
                    term,
                    100,
                    100,
                    Optional.of("d-0-0")))
        .toList();
  }

  /** Encodes and decodes a frame and returns a hash of the result. */
  private static int writeAndRead(Frame frame) {
    byte[] content = encode(frame);
    try {
      return FrameCodec.decode(content).hashCode();
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }

  /** Encodes a frame as MessagePack. */
  private static byte[] encode(Frame frame) {
    try {
      return FrameCodec.encode(frame);
    } catch (IOException exception) {
      throw new UncheckedIOException(exception);
    }
  }
}
