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

/**
 * Coordinates the failover of one database: probes its members, detects the failure of its primary
 * and promotes a successor.
 *
 * <p>Each failover process runs a coordinator for each database. Only the candidates of the
 * database act on a failure, staggered by their rank. Before a primary that does not answer is
 * replaced, a majority of the failure domains must confirm that it is unreachable.
 *
 * <p>Each member is probed by a thread of its own, and one more thread evaluates the primary.
 */
final class FailoverCoordinator {

  /** The interval at which the state of the primary is evaluated. */
  private static final Duration EVALUATION_INTERVAL = Duration.ofMillis(20);

  private static final Duration WITNESS_TIMEOUT = Duration.ofMillis(300);

  /** The timeout of an order to a member. */
  private static final Duration ORDER_TIMEOUT = Duration.ofMillis(500);

  /** The longest time to wait for the probes of all members right before a promotion. */
  private static final long FINAL_PROBE_MILLIS = 100;

  /** The pause after a promotion attempt, in which probes can show its effect. */
  private static final long ATTEMPT_PAUSE_MILLIS = 300;

  private final FailoverSettings settings;

  private final Database database;

  /** The source of the current VM list. */
  private final ConfigurationPoller poller;

  private final MemberClient client;

  /** The transport to the failover processes of other VMs. */
  private final PeerTransport peers;

  private final EventRecorder recorder;

  /** The failure detector, which is not thread-safe and guarded by its own monitor. */
  private final PrimaryFailureDetector detector;

  private final List<PeriodicTask> tasks = new ArrayList<>();

  /** The probe schedules by member name. */
  private final Map<String, ProbeSchedule> schedules = new ConcurrentHashMap<>();

  /** The candidates under the latest VM list. */
  private volatile Ranking ranking = new Ranking(VmList.EMPTY, List.of(), OptionalInt.empty());

  /** Whether the primary is currently suspected. */
  private volatile boolean suspecting;

  /**
   * Creates a coordinator that does nothing before it is started.
   *
   * @param settings The settings of the process.
   * @param database The database.
   * @param poller The source of the current VM list.
   * @param client The client of the members.
   * @param peers The transport to the failover processes of other VMs.
   * @param recorder The event recorder.
   */
  FailoverCoordinator(
      FailoverSettings settings,
      Database database,
      ConfigurationPoller poller,
      MemberClient client,
      PeerTransport peers,
      EventRecorder recorder) {
    this.settings = settings;
    this.database = database;
    this.poller = poller;
    this.client = client;
    this.peers = peers;
    this.recorder = recorder;
    detector =
        new PrimaryFailureDetector(
            settings.suspicionTimeouts(), database.members().size(), System.currentTimeMillis());
    for (Member member : database.members()) {
      tasks.add(
          new PeriodicTask(
              "probe-" + member.name(), settings.probeInterval(), () -> probeIfDue(member)));
      schedules.put(member.name(), new ProbeSchedule());
    }
    tasks.add(new PeriodicTask("judge-" + database.name(), EVALUATION_INTERVAL, this::evaluate));
  }

  /** Starts probing and evaluating. */
  void start() {
    tasks.forEach(PeriodicTask::start);
  }

  /** Stops probing and evaluating. */
  void stop() {
    tasks.forEach(PeriodicTask::stop);
  }

  /**
   * Returns the database as it was configured when this coordinator was created.
   *
   * @return The database.
   */
  Database database() {
    return database;
  }

  /**
   * Returns the latest known status of each member.
   *
   * @return The statuses; members that have not answered yet are missing.
   */
  List<MemberStatus> statuses() {
    synchronized (detector) {
      return List.copyOf(detector.view().statuses().values());
    }
  }

  /**
   * Returns whether this process reaches the primary; asked by other candidates, for which this
   * process is a witness.
   *
   * @param member The name of the primary.
   * @return {@code true} if the primary is reachable.
   */
  boolean isPrimaryReachable(String member) {
    synchronized (detector) {
      return detector.isPrimaryReachable(member, System.currentTimeMillis());
    }
  }

  private void probeIfDue(Member member) {
    boolean primary;
    synchronized (detector) {
      primary = detector.primaryName().equals(member.name());
    }
    boolean first = ranking().rank().orElse(1) == 0;
    if (schedules.get(member.name()).isDue(primary, first, suspecting)) {
      probe(member);
    }
  }

  /** Returns the candidates, computed anew if the VM list has changed. */
  private Ranking ranking() {
    VmList list = poller.vmList();
    Ranking known = ranking;
    if (known.list() != list) {
      List<Vm> candidates = FailoverCandidates.of(database.name(), list);
      known = new Ranking(list, candidates, FailoverCandidates.rank(candidates, settings.name()));
      ranking = known;
    }
    return known;
  }

  /** Asks a member for its status and passes the result to the failure detector. */
  private void probe(Member member) {
    Result<MemberStatus, CallFailure> answer =
        client.status(member.address(), settings.probeTimeout());
    long now = System.currentTimeMillis();
    switch (answer) {
      case Result.Success<MemberStatus, CallFailure>(MemberStatus status) -> {
        synchronized (detector) {
          detector.onStatus(status, now);
        }
        redirectIfNeeded(member, status);
      }
      case Result.Failed<MemberStatus, CallFailure>(CallFailure.NotSent ignored) -> {
        synchronized (detector) {
          detector.onConnectionRefused(member.name(), now);
        }
      }
      case Result.Failed<MemberStatus, CallFailure> ignored -> {
        // The failure detector recognizes a silent member by the time of its latest answer.
      }
    }
  }

  /**
   * Orders a member to follow the primary of the highest term, unless it does so already or knows a
   * higher term.
   */
  private void redirectIfNeeded(Member member, MemberStatus status) {
    Optional<MemberStatus> primary;
    synchronized (detector) {
      primary = detector.primary();
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

  /** Evaluates the primary and starts a promotion if its failure is confirmed. */
  private void evaluate() {
    VmList vms = ranking().list();
    OptionalInt rank = ranking().rank();
    if (rank.isEmpty()) {
      return;
    }
    PrimaryFailureDetector.Verdict verdict;
    String suspect;
    synchronized (detector) {
      verdict = detector.evaluate(rank.getAsInt(), System.currentTimeMillis());
      suspect = detector.primaryName();
    }
    recordSuspicion(verdict != PrimaryFailureDetector.Verdict.TRUST, suspect);
    boolean confirmed =
        switch (verdict) {
          case TRUST -> false;
          case PROMOTE -> true;
          case ASK_WITNESSES -> isConfirmedByWitnesses(suspect, vms);
        };
    if (confirmed && isStillPrimary(suspect)) {
      promote(suspect, vms);
    }
  }

  /**
   * Probes all members once more, because another candidate may have promoted a successor in the
   * meantime.
   *
   * @param suspect The name of the suspected primary.
   * @return {@code true} if no newer primary is known.
   */
  private boolean isStillPrimary(String suspect) {
    List<Thread> probes = new ArrayList<>();
    for (Member member : database.members()) {
      probes.add(Thread.ofVirtual().start(() -> probe(member)));
    }
    long end = System.currentTimeMillis() + FINAL_PROBE_MILLIS;
    probes.forEach(thread -> join(thread, end - System.currentTimeMillis()));
    synchronized (detector) {
      return detector.primaryName().equals(suspect);
    }
  }

  /** Records an event when a suspicion begins or ends. */
  private void recordSuspicion(boolean suspected, String suspect) {
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
   * Asks the candidates in the other failure domains, as witnesses, whether they reach the primary.
   *
   * @param suspect The name of the suspected primary.
   * @param vms The VM list.
   * @return {@code true} if a majority of the failure domains does not reach the primary.
   */
  private boolean isConfirmedByWitnesses(String suspect, VmList vms) {
    Set<String> domains = new HashSet<>();
    vms.entries().forEach(vm -> domains.add(vm.domain()));
    Set<String> unreachable = ConcurrentHashMap.newKeySet();
    unreachable.add(settings.domain());
    Message request = new Message.AskWitness(database.name(), suspect);
    List<Thread> threads = new ArrayList<>();
    for (Vm vm : ranking().candidates()) {
      if (!vm.domain().equals(settings.domain())) {
        threads.add(Thread.ofVirtual().start(() -> askWitness(vm, request, unreachable)));
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
   * Asks one witness and adds its failure domain to {@code unreachable} if it does not reach the
   * primary.
   */
  private void askWitness(Vm vm, Message request, Set<String> unreachable) {
    Message reply = peers.call(vm.failoverAddress(), request, WITNESS_TIMEOUT).value().orElse(null);
    if (reply instanceof Message.Witness(String domain, boolean reaches) && !reaches) {
      unreachable.add(domain);
    }
  }

  private static void join(Thread thread, long millis) {
    try {
      thread.join(Duration.ofMillis(Math.max(1, millis)));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Attempts to promote a successor in the next term. */
  private void promote(String suspect, VmList vms) {
    long term;
    synchronized (detector) {
      term = Promotion.nextTerm(detector.view().highestTerm());
    }
    Optional<MemberStatus> promoted =
        new PromotionAttempt(
                client, recorder, database, term, suspect, new HashSet<>(vms.leavingMembers()))
            .run();
    if (promoted.isPresent()) {
      synchronized (detector) {
        detector.onStatus(promoted.get(), System.currentTimeMillis());
      }
    }
    try {
      Thread.sleep(ATTEMPT_PAUSE_MILLIS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /**
   * The candidates under one VM list.
   *
   * @param list The VM list.
   * @param candidates The candidates in the order in which they act.
   * @param rank The rank of this process, empty if it is no candidate.
   */
  private record Ranking(VmList list, List<Vm> candidates, OptionalInt rank) {}
}
