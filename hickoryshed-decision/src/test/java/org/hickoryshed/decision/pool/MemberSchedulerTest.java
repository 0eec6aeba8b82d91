package org.hickoryshed.decision.pool;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hickoryshed.decision.configuration.Pool;
import org.junit.jupiter.api.Test;

/** Tests of {@link MemberScheduler}. */
class MemberSchedulerTest {

  private static final int SLOTS = 2;
  private static final long COST = 10;
  private static final long LONG_COST = 1_000;
  private static final long AMPLE_TIME = 100_000;
  private static final String SHORT = "order";
  private static final String LONG = "report";

  private final List<Command> commands = new ArrayList<>();
  private long now = 1;
  private long latestId;

  @Test
  void keepsSlotFreeOfLongWork() {
    MemberScheduler scheduler = warmedUp(Pool.Scheduling.SHORT_FIRST);

    arrive(scheduler, LONG, Work.Kind.READ, AMPLE_TIME);
    arrive(scheduler, LONG, Work.Kind.READ, AMPLE_TIME);

    assertThat(started()).hasSize(1);
  }

  @Test
  void fillsSlotsWithLongWorkUnderFifo() {
    MemberScheduler scheduler = warmedUp(Pool.Scheduling.FIFO);

    arrive(scheduler, LONG, Work.Kind.READ, AMPLE_TIME);
    arrive(scheduler, LONG, Work.Kind.READ, AMPLE_TIME);

    assertThat(started()).hasSize(SLOTS);
  }

  @Test
  void refusesWorkThatWouldMissItsDeadline() {
    MemberScheduler scheduler = warmedUp(Pool.Scheduling.SHORT_FIRST);
    for (int number = 0; number < 20; number++) {
      arrive(scheduler, SHORT, Work.Kind.READ, AMPLE_TIME);
    }

    commands.clear();
    arrive(scheduler, SHORT, Work.Kind.READ, COST * 2);

    assertThat(commands)
        .singleElement()
        .isInstanceOfSatisfying(
            Command.Refuse.class,
            refuse -> assertThat(refuse.refusal()).isInstanceOf(Refusal.Overloaded.class));
  }

  @Test
  void runsWritesBeforeReads() {
    MemberScheduler scheduler = warmedUp(Pool.Scheduling.SHORT_FIRST);
    Work first = arrive(scheduler, SHORT, Work.Kind.READ, AMPLE_TIME);
    arrive(scheduler, SHORT, Work.Kind.READ, AMPLE_TIME);
    arrive(scheduler, SHORT, Work.Kind.READ, AMPLE_TIME);
    Work write = arrive(scheduler, SHORT, Work.Kind.WRITE, AMPLE_TIME);

    commands.clear();
    commands.addAll(scheduler.onFinished(first.id(), WorkOutcome.ANSWERED, now));

    assertThat(started()).containsExactly(write.id());
  }

  @Test
  void refusesStatementOfUnknownTransaction() {
    MemberScheduler scheduler = warmedUp(Pool.Scheduling.SHORT_FIRST);

    Work work = new Work(99, SHORT, Work.Kind.STEP, 7, 1, now, now + AMPLE_TIME);

    assertThat(scheduler.onArrival(work))
        .containsExactly(new Command.Refuse(work, new Refusal.NoTransaction()));
  }

  @Test
  void refusesWaitingWorkIfMemberAcceptsNoConnection() {
    MemberScheduler scheduler = scheduler(Pool.Scheduling.SHORT_FIRST);
    Work work = arrive(scheduler, SHORT, Work.Kind.WRITE, AMPLE_TIME);
    List<Long> opening = opening();

    commands.clear();
    opening.forEach(connection -> commands.addAll(scheduler.onConnectFailed(connection, now)));

    assertThat(commands).contains(new Command.Refuse(work, new Refusal.NoConnection()));
  }

  @Test
  void reconnectsSeldomToDeadMemberWhileNoWorkWaits() {
    MemberScheduler scheduler = scheduler(Pool.Scheduling.SHORT_FIRST);
    int connects = 0;
    for (int tick = 0; tick < 500; tick++) {
      now += 20;
      commands.clear();
      commands.addAll(scheduler.onTick(now));
      connects += opening().size();
      opening().forEach(connection -> scheduler.onConnectFailed(connection, now));
    }

    assertThat(connects).isLessThanOrEqualTo(5 * (SLOTS + 1));
  }

  @Test
  void closesIdleConnectionsWhileRetiring() {
    MemberScheduler scheduler = warmedUp(Pool.Scheduling.SHORT_FIRST);

    scheduler.setRetiring(true);
    scheduler.onTick(now);

    assertThat(scheduler.connectionCount()).isZero();
  }

  @Test
  void closesIdleTransactionWithItsConnection() {
    MemberScheduler scheduler = warmedUp(Pool.Scheduling.SHORT_FIRST);
    Work begin = new Work(50, SHORT, Work.Kind.BEGIN, 5, 1, now, now + AMPLE_TIME);
    long connection = ((Command.Run) scheduler.onArrival(begin).getFirst()).connection();
    scheduler.onFinished(begin.id(), WorkOutcome.ANSWERED, now);

    now += AMPLE_TIME;

    assertThat(scheduler.onTick(now)).contains(new Command.Close(connection));
  }

  /** Returns a scheduler with open connections and recorded costs for both labels. */
  private MemberScheduler warmedUp(Pool.Scheduling scheduling) {
    MemberScheduler scheduler = scheduler(scheduling);
    arrive(scheduler, SHORT, Work.Kind.READ, AMPLE_TIME);
    opening().forEach(connection -> scheduler.onConnected(connection, now));
    now += COST;
    scheduler.onFinished(latestId, WorkOutcome.ANSWERED, now);
    arrive(scheduler, LONG, Work.Kind.READ, AMPLE_TIME);
    now += LONG_COST;
    scheduler.onFinished(latestId, WorkOutcome.ANSWERED, now);
    commands.clear();
    return scheduler;
  }

  private static MemberScheduler scheduler(Pool.Scheduling scheduling) {
    return new MemberScheduler(new PoolLimits(16, SLOTS, scheduling, 50, 100, AMPLE_TIME / 2));
  }

  private Work arrive(MemberScheduler scheduler, String label, Work.Kind kind, long timeLeft) {
    Work work = new Work(++latestId, label, kind, 0, 1, now, now + timeLeft);
    commands.addAll(scheduler.onArrival(work));
    return work;
  }

  private List<Long> opening() {
    return commands.stream()
        .filter(Command.Connect.class::isInstance)
        .map(command -> ((Command.Connect) command).connection())
        .toList();
  }

  private List<Long> started() {
    return commands.stream()
        .filter(Command.Run.class::isInstance)
        .map(command -> ((Command.Run) command).work().id())
        .toList();
  }
}
