package org.hickoryshed.failover;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.failover.FailoverCandidates;
import org.hickoryshed.decision.failover.PrimaryFailureDetector;
import org.hickoryshed.decision.failover.Promotion;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.worker.PeriodicTask;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.peer.PeerTransport;

/** The guard of one database: it asks its members, judges its primary and promotes a successor. */
final class FailoverCoordinator {

  /** The time between two judgements. */
  private static final Duration JUDGEMENT = Duration.ofMillis(20);

  /** The longest time to wait for a witness. */
  private static final Duration WITNESS_TIMEOUT = Duration.ofMillis(300);

  /** The longest time to wait for an answer to an order. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

  /** The longest time in milliseconds to wait for members before an attempt. */
  private static final long LAST_LOOK = 100;

  /** The pause in milliseconds after an attempt, so that its effect is seen. */
  private static final long ATTEMPT_PAUSE = 300;

  /** The settings. */
  private final FailoverSettings settings;

  /** The database. */
  private final Database database;

  /** The source of the VM list. */
  private final ConfigurationPoller documents;

  /** The client of the members. */
  private final MemberClient client;

  /** The other failover processes. */
  private final PeerTransport peers;

  /** The event recorder. */
  private final EventRecorder recorder;

  /** The suspicion, used under its monitor. */
  private final PrimaryFailureDetector suspicion;

  /** The duties of this guard. */
  private final List<PeriodicTask> duties = new ArrayList<>();

  /** The probes by the names of the members. */
  private final Map<String, ProbeSchedule> schedules = new ConcurrentHashMap<>();

  /** The candidates under the latest VM list. */
  private volatile Ranking ranking = new Ranking(VmList.EMPTY, List.of(), OptionalInt.empty());

  /** True while a primary is suspected. */
  private volatile boolean suspecting;

  /**
   * Creates a new guard.
   *
   * @param settings The settings.
   * @param database The database.
   * @param documents The source of the VM list.
   * @param client The client of the members.
   * @param peers The other failover processes.
   * @param recorder The event recorder.
   */
  FailoverCoordinator(
      FailoverSettings settings,
      Database database,
      ConfigurationPoller documents,
      MemberClient client,
      PeerTransport peers,
      EventRecorder recorder) {
    this.settings = settings;
    this.database = database;
    this.documents = documents;
    this.client = client;
    this.peers = peers;
    this.recorder = recorder;
    suspicion =
        new PrimaryFailureDetector(
            settings.limits(), database.members().size(), System.currentTimeMillis());
    for (Member member : database.members()) {
      duties.add(
          new PeriodicTask(
              "probe-" + member.name(), settings.probeInterval(), () -> probeIfDue(member)));
      schedules.put(member.name(), new ProbeSchedule());
    }
    duties.add(new PeriodicTask("judge-" + database.name(), JUDGEMENT, this::judge));
  }

  /** Starts this guard. */
  void start() {
    duties.forEach(PeriodicTask::start);
  }

  /** Stops this guard. */
  void stop() {
    duties.forEach(PeriodicTask::stop);
  }

  /**
   * Returns the guarded database.
   *
   * @return The database.
   */
  Database database() {
    return database;
  }

  /**
   * Returns the latest statuses of the members.
   *
   * @return The latest statuses.
   */
  List<MemberStatus> statuses() {
    synchronized (suspicion) {
      return List.copyOf(suspicion.view().statuses().values());
    }
  }

  /**
   * Answers as a witness whether a primary is reached.
   *
   * @param member The name of the primary.
   * @return {@code true} if the primary is reached.
   */
  boolean isPrimaryReachable(String member) {
    synchronized (suspicion) {
      return suspicion.isPrimaryReachable(member, System.currentTimeMillis());
    }
  }

  /**
   * Asks a member for its status if its next probe is due.
   *
   * @param member The member.
   */
  private void probeIfDue(Member member) {
    boolean primary;
    synchronized (suspicion) {
      primary = suspicion.primaryName().equals(member.name());
    }
    boolean first = ranking().rank().orElse(1) == 0;
    if (schedules.get(member.name()).isDue(primary, first, suspecting)) {
      probe(member);
    }
  }

  /**
   * Returns the candidates under the latest VM list.
   *
   * @return The candidates and the own rank.
   */
  private Ranking ranking() {
    VmList list = documents.vmList();
    Ranking known = ranking;
    if (known.list() != list) {
      List<Vm> candidates = FailoverCandidates.of(database.name(), list);
      known = new Ranking(list, candidates, FailoverCandidates.rank(candidates, settings.name()));
      ranking = known;
    }
    return known;
  }

  /**
   * Asks a member for its status.
   *
   * @param member The member.
   */
  private void probe(Member member) {
    Result<MemberStatus, CallFailure> answer =
        client.status(member.address(), settings.probeTimeout());
    long now = System.currentTimeMillis();
    switch (answer) {
      case Result.Success<MemberStatus, CallFailure>(MemberStatus status) -> {
        synchronized (suspicion) {
          suspicion.onStatus(status, now);
        }
        repair(member, status);
      }
      case Result.Failed<MemberStatus, CallFailure>(CallFailure.NotSent ignored) -> {
        synchronized (suspicion) {
          suspicion.onConnectionRefused(member.name(), now);
        }
      }
      case Result.Failed<MemberStatus, CallFailure> ignored -> {
        // A silent member is judged by the time of its latest answer.
      }
    }
  }

  /**
   * Lets a member that does not follow the primary of the highest term do so.
   *
   * @param member The member.
   * @param status The status of the member.
   */
  private void repair(Member member, MemberStatus status) {
    Optional<MemberStatus> primary;
    synchronized (suspicion) {
      primary = suspicion.primary();
    }
    if (primary.isEmpty() || primary.get().member().equals(member.name())) {
      return;
    }
    boolean following = status.role() == Role.REPLICA && status.term() == primary.get().term();
    if (!following && status.term() <= primary.get().term()) {
      Member target = database.member(primary.get().member()).orElseThrow();
      client.follow(
          member.address(),
          new MemberClient.TermOrder(primary.get().term(), target.name(), target.address()),
          ORDER_TIMEOUT);
    }
  }

  /** Judges the primary and acts on the verdict. */
  private void judge() {
    VmList vms = ranking().list();
    OptionalInt rank = ranking().rank();
    if (rank.isEmpty()) {
      return;
    }
    PrimaryFailureDetector.Verdict verdict;
    String suspect;
    synchronized (suspicion) {
      verdict = suspicion.evaluate(rank.getAsInt(), System.currentTimeMillis());
      suspect = suspicion.primaryName();
    }
    recordChange(verdict != PrimaryFailureDetector.Verdict.TRUST, suspect);
    boolean act =
        switch (verdict) {
          case TRUST -> false;
          case PROMOTE -> true;
          case ASK_WITNESSES -> isConfirmed(suspect, vms);
        };
    if (act && isStillSuspect(suspect)) {
      promote(suspect, vms);
    }
  }

  /**
   * Looks whether another candidate has promoted a successor in the meantime.
   *
   * @param suspect The name of the primary that was judged.
   * @return {@code true} if no member knows a newer primary.
   */
  private boolean isStillSuspect(String suspect) {
    List<Thread> probes = new ArrayList<>();
    for (Member member : database.members()) {
      probes.add(Thread.ofVirtual().start(() -> probe(member)));
    }
    long end = System.currentTimeMillis() + LAST_LOOK;
    probes.forEach(thread -> join(thread, end - System.currentTimeMillis()));
    synchronized (suspicion) {
      return suspicion.primaryName().equals(suspect);
    }
  }

  /**
   * Records when a suspicion begins or ends.
   *
   * @param suspected {@code true} if the primary is suspected.
   * @param suspect The name of the primary.
   */
  private void recordChange(boolean suspected, String suspect) {
    if (suspected != suspecting) {
      suspecting = suspected;
      recorder.record(
          suspected ? "primary-suspected" : "primary-trusted",
          "database",
          database.name(),
          "member",
          suspect);
    }
  }

  /**
   * Asks one witness in each other failure domain.
   *
   * @param suspect The name of the primary.
   * @param vms The VM list.
   * @return {@code true} if a majority of the failure domains does not reach the primary.
   */
  private boolean isConfirmed(String suspect, VmList vms) {
    Set<String> domains = new HashSet<>();
    vms.entries().forEach(vm -> domains.add(vm.domain()));
    Set<String> unreachable = ConcurrentHashMap.newKeySet();
    unreachable.add(settings.domain());
    Message question = new Message.AskWitness(database.name(), suspect);
    List<Thread> threads = new ArrayList<>();
    for (Vm vm : ranking().candidates()) {
      if (!vm.domain().equals(settings.domain())) {
        threads.add(Thread.ofVirtual().start(() -> ask(vm, question, unreachable)));
      }
    }
    long end = System.currentTimeMillis() + WITNESS_TIMEOUT.toMillis();
    for (Thread thread : threads) {
      if (PrimaryFailureDetector.isConfirmed(unreachable, domains.size())) {
        break;
      }
      join(thread, end - System.currentTimeMillis());
    }
    return PrimaryFailureDetector.isConfirmed(unreachable, domains.size());
  }

  /**
   * Asks a witness.
   *
   * @param vm The VM of the witness.
   * @param question The question.
   * @param unreachable The failure domains in which the primary is not reached, to add to.
   */
  private void ask(Vm vm, Message question, Set<String> unreachable) {
    Message reply =
        peers.call(vm.failoverAddress(), question, WITNESS_TIMEOUT).value().orElse(null);
    if (reply instanceof Message.Witness(String domain, boolean reaches) && !reaches) {
      unreachable.add(domain);
    }
  }

  /**
   * Waits for a thread.
   *
   * @param thread The thread.
   * @param millis The longest time to wait in milliseconds.
   */
  private static void join(Thread thread, long millis) {
    try {
      thread.join(Duration.ofMillis(Math.max(1, millis)));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * Attempts a promotion.
   *
   * @param suspect The name of the replaced primary.
   * @param vms The VM list.
   */
  private void promote(String suspect, VmList vms) {
    long term;
    synchronized (suspicion) {
      term = Promotion.nextTerm(suspicion.view().highestTerm());
    }
    Optional<MemberStatus> promoted =
        new PromotionAttempt(
                client, recorder, database, term, suspect, new HashSet<>(vms.leavingMembers()))
            .run();
    if (promoted.isPresent()) {
      synchronized (suspicion) {
        suspicion.onStatus(promoted.get(), System.currentTimeMillis());
      }
    }
    try {
      Thread.sleep(ATTEMPT_PAUSE);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * The candidates under a VM list.
   *
   * @param list The VM list.
   * @param candidates The candidates in the order in which they act.
   * @param rank The own rank or an empty optional.
   */
  private record Ranking(VmList list, List<Vm> candidates, OptionalInt rank) {}
}
