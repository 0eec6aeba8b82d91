package org.hickoryshed.session.promotion;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hickoryshed.decision.promotion.PrimaryFailureVote;
import org.hickoryshed.decision.promotion.PromotionCandidate;
import org.hickoryshed.session.eventlog.EventLog;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Watches the primaries and replaces one that failed or leaves.
 *
 * <p>A doubt leads to a vote of the proxies, the vote to a survey of the other members, the survey
 * to an order. All of it lives on the event loop but the order itself.
 */
public final class PrimaryMonitor implements PeerNetwork.Listener {

  /** The pause between two looks at all primaries, in milliseconds. */
  private static final long LOOK_MILLIS = 200;

  /** The time of a vote in milliseconds. */
  private static final long VOTE_MILLIS = 260;

  /** The time in which a primary must answer a proxy that is asked, in milliseconds. */
  private static final long PROBE_MILLIS = 160;

  /** The time of a survey in milliseconds. */
  private static final long SURVEY_MILLIS = 150;

  /** The pause after a vote that kept the primary or did not decide, in milliseconds. */
  private static final long KEPT_PAUSE_MILLIS = 350;

  /** The pause after an order, in which its effect becomes visible, in milliseconds. */
  private static final long ORDER_PAUSE_MILLIS = 1300;

  /** The pause after an order without an answer, in milliseconds. */
  private static final long UNKNOWN_PAUSE_MILLIS = 450;

  /** The longest delay before a leaving primary is replaced, so that one proxy comes first. */
  private static final long LEAVING_SPREAD_MILLIS = 250;

  /** The number of proxies that take part in a vote at most. */
  private static final int VOTERS = 8;

  /** What all pools share. */
  private final MemberContext context;

  /** The other proxies. */
  private final PeerNetwork peers;

  /** The orders. */
  private final PromotionCoordinator orders;

  /** Finds the databases by the names of their pools. */
  private final Function<String, Optional<Database>> databases;

  /** What tells the proxies who leads. */
  private final PrimaryAnnouncer leads;

  /** The cases by the names of their pools. */
  private final Map<String, PoolFailoverState> cases = new HashMap<>();

  /** The number of the next question. */
  private long nextQuestion = 1;

  /**
   * Creates a watch.
   *
   * @param context What all pools share.
   * @param peers The other proxies.
   * @param orders The orders.
   * @param databases Finds the databases by the names of their pools.
   */
  public PrimaryMonitor(
      MemberContext context,
      PeerNetwork peers,
      PromotionCoordinator orders,
      Function<String, Optional<Database>> databases) {
    this.context = context;
    this.peers = peers;
    this.orders = orders;
    this.databases = databases;
    leads = new PrimaryAnnouncer(context, peers, databases);
  }

  /**
   * Starts to look at the primaries from time to time.
   *
   * @param pools The source of the names of all pools.
   */
  public void start(Supplier<List<String>> pools) {
    loop()
        .schedule(
            LOOK_MILLIS,
            () -> {
              pools.get().forEach(this::look);
              start(pools);
            });
  }

  /**
   * Handles a doubt about a primary.
   *
   * @param pool The pool of the primary.
   * @param reason What was seen.
   */
  public void onPrimarySuspected(String pool, String reason) {
    PoolFailoverState open = cases.computeIfAbsent(pool, this::newCase);
    if (open.stage != PoolFailoverState.Stage.REST || open.isQuiet(loop().now())) {
      return;
    }
    open.stage = PoolFailoverState.Stage.VOTE;
    open.reason = reason;
    open.question = nextQuestion++;
    List<String> voters = peers.recentPeers().stream().limit(VOTERS).toList();
    open.vote = new PrimaryFailureVote(voters.size() + 1);
    String member =
        databases.apply(pool).flatMap(Database::claimedPrimary).map(p -> p.entry().id()).orElse("");
    log()
        .event("primary-doubted")
        .with("pool", pool)
        .with("member", member)
        .with("reason", reason)
        .with("voters", voters.size())
        .write();
    voters.forEach(
        voter -> peers.send(voter, new PeerMessage.Question(pool, member, open.question)));
    long question = open.question;
    examine(pool, member, reachable -> onVote(open, question, context.processName(), reachable));
    loop().schedule(VOTE_MILLIS, () -> evaluate(open, question, true));
  }

  @Override
  public void onMessage(String from, PeerMessage message) {
    switch (message) {
      case PeerMessage.Lead lead ->
          databases
              .apply(lead.pool())
              .ifPresent(database -> database.notePrimary(lead.member(), lead.term(), from));
      case PeerMessage.Question question -> {
        leads.answer(from, question);
        examine(
            question.pool(),
            question.member(),
            reachable -> peers.send(from, new PeerMessage.Answer(question.question(), reachable)));
      }
      case PeerMessage.Answer answer ->
          cases.values().stream()
              .filter(open -> open.question == answer.question())
              .forEach(open -> onVote(open, answer.question(), from, answer.reachable()));
      case PeerMessage.Takeover takeover ->
          leaveTo(from, cases.computeIfAbsent(takeover.pool(), this::newCase));
      default -> {
        // The other messages are not about primaries.
      }
    }
  }

  /**
   * Leaves a case to another proxy.
   *
   * @param proxy The name of the proxy.
   * @param open The case.
   */
  private void leaveTo(String proxy, PoolFailoverState open) {
    log().event("takeover-left").with("pool", open.pool).with("holder", proxy).write();
    if (open.stage == PoolFailoverState.Stage.VOTE) {
      open.stage = PoolFailoverState.Stage.REST;
    }
    open.pause(loop().now(), ORDER_PAUSE_MILLIS);
  }

  /**
   * Looks at the primary of a pool.
   *
   * @param pool The name of the pool.
   */
  private void look(String pool) {
    Optional<Database> database = databases.apply(pool);
    if (database.isEmpty() || database.get().pools().isEmpty()) {
      return;
    }
    Optional<MemberPool> leader = database.get().claimedPrimary();
    PoolFailoverState open = cases.computeIfAbsent(pool, this::newCase);
    if (leader.isEmpty()) {
      onPrimarySuspected(pool, "no member claims the lead");
    } else if (!leader.get().isReachable()) {
      onPrimarySuspected(pool, "the primary is unreachable");
    } else if (leader.get().entry().draining()
        && open.stage == PoolFailoverState.Stage.REST
        && !open.isQuiet(loop().now())) {
      open.stage = PoolFailoverState.Stage.SURVEY;
      open.reason = "the primary leaves";
      loop()
          .schedule(
              ThreadLocalRandom.current().nextLong(LEAVING_SPREAD_MILLIS),
              () -> {
                if (open.stage == PoolFailoverState.Stage.SURVEY && !open.isQuiet(loop().now())) {
                  survey(open);
                } else {
                  open.stage = PoolFailoverState.Stage.REST;
                }
              });
    }
  }

  /**
   * Finds out whether a primary answers this proxy.
   *
   * @param pool The pool of the primary.
   * @param member The identifier of the primary, empty if none is known to the asking proxy.
   * @param result The receiver of the result.
   */
  private void examine(String pool, String member, Consumer<Boolean> result) {
    Optional<MemberPool> leader = databases.apply(pool).flatMap(Database::claimedPrimary);
    if (leader.isEmpty()) {
      result.accept(false);
    } else if (!member.isEmpty() && !leader.get().entry().id().equals(member)) {
      result.accept(true);
    } else {
      long distance = 2 * context.oneWayLatencyMillis(leader.get().entry().domain());
      leader.get().queries().probe(PROBE_MILLIS + distance, result);
    }
  }

  /**
   * Takes a vote.
   *
   * @param open The case.
   * @param question The number of the question.
   * @param proxy The name of the proxy.
   * @param reachable True if the primary answers it.
   */
  private void onVote(PoolFailoverState open, long question, String proxy, boolean reachable) {
    if (open.stage == PoolFailoverState.Stage.VOTE && open.question == question) {
      open.vote.recordAnswer(proxy, reachable);
      if (reachable && !proxy.equals(context.processName())) {
        databases
            .apply(open.pool)
            .flatMap(Database::claimedPrimary)
            .ifPresent(leader -> context.paths().get().notePeerReaches(leader.entry().id(), proxy));
      }
      evaluate(open, question, false);
    }
  }

  /**
   * Evaluates a vote.
   *
   * @param open The case.
   * @param question The number of the question.
   * @param over True if no further vote is awaited.
   */
  private void evaluate(PoolFailoverState open, long question, boolean over) {
    if (open.stage != PoolFailoverState.Stage.VOTE || open.question != question) {
      return;
    }
    switch (open.vote.verdict(over)) {
      case FAILED -> {
        open.stage = PoolFailoverState.Stage.SURVEY;
        survey(open);
      }
      case ALIVE -> keep(open, "a proxy reaches it");
      case OPEN -> {
        if (over) {
          databases.apply(open.pool).ifPresent(Database::noteCutOff);
          keep(open, "too few proxies answered");
        }
      }
    }
  }

  /**
   * Ends a case without an order.
   *
   * @param open The case.
   * @param reason Why the primary is kept.
   */
  private void keep(PoolFailoverState open, String reason) {
    log().event("primary-kept").with("pool", open.pool).with("reason", reason).write();
    open.stage = PoolFailoverState.Stage.REST;
    open.pause(loop().now(), KEPT_PAUSE_MILLIS);
  }

  /**
   * Asks the other members for their positions.
   *
   * @param open The case.
   */
  private void survey(PoolFailoverState open) {
    List<MemberPool> asked =
        databases.apply(open.pool).stream()
            .flatMap(database -> database.pools().stream())
            .filter(MemberPool::isReachable)
            .toList();
    if (asked.isEmpty()) {
      keep(open, "no member is reachable");
      return;
    }
    Map<MemberPool, Optional<MemberStatusReport>> reports = new LinkedHashMap<>();
    for (MemberPool pool : asked) {
      pool.queries()
          .askStatus(
              SURVEY_MILLIS,
              report -> {
                reports.put(pool, report);
                if (reports.size() == asked.size()) {
                  onSurveyed(open, reports);
                }
              });
    }
  }

  /**
   * Handles the reports of all members that are reachable.
   *
   * @param open The case.
   * @param reports The reports, empty for members that did not answer in time.
   */
  private void onSurveyed(
      PoolFailoverState open, Map<MemberPool, Optional<MemberStatusReport>> reports) {
    Optional<MemberPool> leader = databases.apply(open.pool).flatMap(Database::claimedPrimary);
    List<PromotionCandidate> found = new ArrayList<>();
    for (Map.Entry<MemberPool, Optional<MemberStatusReport>> entry : reports.entrySet()) {
      MemberPool pool = entry.getKey();
      Optional<MemberStatusReport> report = entry.getValue();
      boolean isPrimary = report.map(MemberStatusReport::primary).orElse(false);
      if (isPrimary && !pool.entry().draining()) {
        leads.spread(open.pool, pool.entry().id(), report.get().term());
        keep(open, "a member leads: " + pool.entry().id());
        return;
      }
      if (!isPrimary && leader.filter(pool::equals).isEmpty()) {
        found.add(
            new PromotionCandidate(
                pool.entry().id(),
                report.map(MemberStatusReport::received).orElse(pool.position()),
                !pool.entry().draining(),
                context.oneWayLatencyMillis(pool.entry().domain())));
      }
    }
    if (found.isEmpty()) {
      keep(open, "no other member is reachable");
    } else {
      order(open, found);
    }
  }

  /**
   * Orders a takeover by the best of the members.
   *
   * @param open The case.
   * @param found The members that answered.
   */
  private void order(PoolFailoverState open, List<PromotionCandidate> found) {
    PromotionCandidate chosen = PromotionCandidate.choose(found).orElseThrow();
    open.stage = PoolFailoverState.Stage.ORDER;
    log()
        .event("takeover-decided")
        .with("pool", open.pool)
        .with("member", chosen.member())
        .with("received", chosen.received())
        .with("candidates", found.size())
        .with("reason", open.reason)
        .write();
    boolean taken =
        orders.requestPromotion(
            open.pool,
            chosen.member(),
            open.reason,
            () -> loop().submit(() -> leads.announce(new PeerMessage.Takeover(open.pool))),
            result -> loop().submit(() -> onOrdered(open, chosen.member(), result)));
    if (!taken) {
      keep(open, "too many orders wait");
    }
  }

  /**
   * Handles the result of an order.
   *
   * @param open The case.
   * @param member The identifier of the member that is to lead.
   * @param result The result.
   */
  private void onOrdered(
      PoolFailoverState open, String member, PromotionCoordinator.OrderResult result) {
    context.metrics().counter("takeovers", "result", result.name()).inc();
    open.stage = PoolFailoverState.Stage.REST;
    switch (result) {
      case ACCEPTED -> {
        open.pause(loop().now(), ORDER_PAUSE_MILLIS);
        leads.await(open.pool, member);
      }
      case UNKNOWN -> open.pause(loop().now(), UNKNOWN_PAUSE_MILLIS);
      case REFUSED, NOT_HOLDER -> open.pause(loop().now(), KEPT_PAUSE_MILLIS);
    }
  }

  /**
   * Creates a case that rests.
   *
   * @param pool The name of the pool.
   * @return The case.
   */
  private PoolFailoverState newCase(String pool) {
    return new PoolFailoverState(pool, loop().now());
  }

  /**
   * Returns the event loop.
   *
   * @return The event loop.
   */
  private EventLoop loop() {
    return context.loop();
  }

  /**
   * Returns the log.
   *
   * @return The log.
   */
  private EventLog log() {
    return context.log();
  }
}
