package org.hickoryshed.decision.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.hickoryshed.decision.configuration.Pool;

/** Drives {@link MemberScheduler} with random events and checks invariants of its commands. */
class MemberSchedulerHistoryTest {

  private static final int CONNECTIONS = 5;
  private static final int SLOTS = 2;
  private static final int LENGTH = 400;
  private static final int LONG_WORK = 50;
  private static final int QUEUE = 20;
  private static final long TRANSACTION_IDLE = 500;

  @Property(tries = 300, seed = "20261204")
  void keepsInvariantsUnderShortFirst(@ForAll @LongRange(min = 0) long seed) {
    new Simulation(Pool.Scheduling.SHORT_FIRST, seed).run();
  }

  @Property(tries = 300, seed = "20261204")
  void keepsInvariantsUnderFifo(@ForAll @LongRange(min = 0) long seed) {
    new Simulation(Pool.Scheduling.FIFO, seed).run();
  }

  /** A scheduler with a simulated member that checks each command before it carries it out. */
  private static final class Simulation {

    private final RandomGenerator random;
    private final MemberScheduler scheduler;
    private final List<Long> opening = new ArrayList<>();
    private final Set<Long> open = new HashSet<>();
    private final Map<Long, Command.Run> running = new HashMap<>();
    private final Map<Long, Long> connectionOfTransaction = new HashMap<>();
    private final Set<Long> answered = new HashSet<>();
    private final Set<Long> waiting = new HashSet<>();
    private long now = 1_000;
    private long latestWork;
    private long latestTransaction;

    private Simulation(Pool.Scheduling scheduling, long seed) {
      random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
      scheduler =
          new MemberScheduler(
              new PoolLimits(CONNECTIONS, SLOTS, scheduling, LONG_WORK, QUEUE, TRANSACTION_IDLE));
    }

    private void run() {
      for (int step = 0; step < LENGTH; step++) {
        now += random.nextInt(20);
        step();
        assertThat(open.size() + opening.size()).isLessThanOrEqualTo(CONNECTIONS);
        assertThat(running.size()).isLessThanOrEqualTo(SLOTS);
        assertThat(scheduler.waitingCount()).isLessThanOrEqualTo(QUEUE + CONNECTIONS);
      }
      finishAll();
      assertThat(waiting).as("work without an answer").isEmpty();
    }

    private void step() {
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> arrive();
        case 3 -> connect();
        case 4, 5 -> finish(random.nextInt(10) == 0 ? WorkOutcome.LOST : WorkOutcome.ANSWERED);
        case 6 -> finish(WorkOutcome.REFUSED);
        default -> carryOut(scheduler.onTick(now));
      }
    }

    private void arrive() {
      Work.Kind kind = Work.Kind.values()[random.nextInt(Work.Kind.values().length)];
      long transaction =
          switch (kind) {
            case BEGIN -> ++latestTransaction;
            case STEP, END -> random.nextLong(latestTransaction + 1);
            case READ, WRITE -> 0;
          };
      String label = random.nextInt(10) == 0 ? "report" : "order";
      long deadline = now + 1 + random.nextInt(300);
      Work work =
          new Work(++latestWork, label, kind, transaction, random.nextInt(3), now, deadline);
      waiting.add(work.id());
      carryOut(scheduler.onArrival(work));
    }

    private void connect() {
      if (opening.isEmpty()) {
        return;
      }
      long connection = opening.removeFirst();
      if (random.nextInt(5) == 0) {
        carryOut(scheduler.onConnectFailed(connection, now));
      } else {
        open.add(connection);
        carryOut(scheduler.onConnected(connection, now));
      }
    }

    private void finish(WorkOutcome end) {
      if (running.isEmpty()) {
        return;
      }
      List<Long> ids = new ArrayList<>(running.keySet());
      long id = ids.get(random.nextInt(ids.size()));
      Command.Run run = running.remove(id);
      Work work = run.work();
      if (work.kind() == Work.Kind.BEGIN && end == WorkOutcome.ANSWERED) {
        connectionOfTransaction.put(work.transaction(), run.connection());
      }
      boolean stepFailed = work.kind() == Work.Kind.STEP && end != WorkOutcome.ANSWERED;
      if (work.kind() == Work.Kind.END || stepFailed) {
        connectionOfTransaction.remove(work.transaction());
      }
      answered.add(id);
      List<Command> commands = scheduler.onFinished(id, end, now);
      if (end == WorkOutcome.LOST) {
        assertThat(commands)
            .as("a connection with a statement in flight is closed")
            .contains(new Command.Close(run.connection()));
      }
      carryOut(commands);
    }

    private void finishAll() {
      for (int round = 0; round < 1_000 && !waiting.isEmpty(); round++) {
        now += 20;
        connect();
        finish(WorkOutcome.ANSWERED);
        carryOut(scheduler.onTick(now));
      }
    }

    private void carryOut(List<Command> commands) {
      for (Command command : commands) {
        switch (command) {
          case Command.Connect(long connection) -> opening.add(connection);
          case Command.Close(long connection) -> close(connection);
          case Command.Refuse(Work work, Refusal ignored) -> {
            assertThat(answered.add(work.id())).as("one answer for each work").isTrue();
            assertThat(running).as("refused work has not run").doesNotContainKey(work.id());
            waiting.remove(work.id());
          }
          case Command.Run run -> start(run);
        }
      }
    }

    private void close(long connection) {
      assertThat(open.remove(connection)).as("only open connections are closed").isTrue();
      connectionOfTransaction.values().remove(connection);
    }

    private void start(Command.Run run) {
      Work work = run.work();
      assertThat(open).as("work runs on an open connection").contains(run.connection());
      assertThat(running.values())
          .as("a connection carries one statement at a time")
          .noneMatch(other -> other.connection() == run.connection());
      assertThat(answered).doesNotContain(work.id());
      if (work.kind() == Work.Kind.STEP || work.kind() == Work.Kind.END) {
        assertThat(connectionOfTransaction)
            .as("a transaction keeps its connection")
            .containsEntry(work.transaction(), run.connection());
      } else {
        assertThat(connectionOfTransaction.values())
            .as("a connection belongs to one transaction from begin to end")
            .doesNotContain(run.connection());
      }
      running.put(work.id(), run);
      waiting.remove(work.id());
    }
  }
}
