package org.hickoryshed.session.takeover;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hickoryshed.decision.takeover.PrimaryVote;
import org.hickoryshed.decision.takeover.Successor;
import org.hickoryshed.session.journal.EventLog;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberContext;
import org.hickoryshed.session.member.MemberPool;
import org.hickoryshed.session.net.EventLoop;
import org.hickoryshed.session.peer.PeerMessage;
import org.hickoryshed.session.peer.PeerNetwork;

/**
 * Watches the primaries and replaces one that failed or leaves.
 *
 * <p>A doubt leads to a vote of the proxies, the vote to a survey of the other members, the survey
 * to an order. All of it lives on the event loop but the order itself.
 */
public final class TakeoverWatch implements PeerNetwork.Listener {

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

  /** The longest delay before a leaving primary is replaced, so that one proxy comes first. */
  private static final long LEAVING_SPREAD_MILLIS = 250;

  /** The number of proxies that take part in a vote at most. */
  private static final int VOTERS = 8;

  /** Nanoseconds in a millisecond. */
  private static final long NANOS_IN_MILLI = 1_000_000;

  /** What all pools share. */
  private final MemberContext context;

  /** The other proxies. */
  private final PeerNetwork peers;

  /** The orders. */
  private final TakeoverOrders orders;

  /** Finds the databases by the names of their pools. */
  private final Function<String, Optional<Database>> databases;

  /** The cases by the names of their pools. */
  private final Map<String, Case> cases = new HashMap<>();

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
  public TakeoverWatch(
      MemberContext context,
      PeerNetwork peers,
      TakeoverOrders orders,
      Function<String, Optional<Database>> databases) {
    this.context = context;
    this.peers = peers;
    this.orders = orders;
    this.databases = databases;
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
  public void onDoubt(String pool, String reason) {
    Case open = cases.computeIfAbsent(pool, Case::new);
    if (open.stage != Stage.REST || isQuiet(open)) {
      return;
    }
    open.stage = Stage.VOTE;
    open.reason = reason;
    open.question = nextQuestion++;
    List<String> voters = peers.alive().stream().limit(VOTERS).toList();
    open.vote = new PrimaryVote(voters.size() + 1);
    String member =
        databases.apply(pool).flatMap(Database::leader).map(p -> p.entry().id()).orElse("");
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
      case PeerMessage.Question question ->
          examine(
              question.pool(),
              question.member(),
              reachable ->
                  peers.send(from, new PeerMessage.Answer(question.question(), reachable)));
      case PeerMessage.Answer answer ->
          cases.values().stream()
              .filter(open -> open.question == answer.question())
              .forEach(open -> onVote(open, answer.question(), from, answer.reachable()));
      case PeerMessage.Takeover takeover ->
          leaveTo(from, cases.computeIfAbsent(takeover.pool(), Case::new));
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
  private void leaveTo(String proxy, Case open) {
    log().event("takeover-left").with("pool", open.pool).with("holder", proxy).write();
    if (open.stage == Stage.VOTE) {
      open.stage = Stage.REST;
    }
    pause(open, ORDER_PAUSE_MILLIS);
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
    Optional<MemberPool> leader = database.get().leader();
    Case open = cases.computeIfAbsent(pool, Case::new);
    if (leader.isEmpty()) {
      onDoubt(pool, "no member claims the lead");
    } else if (!leader.get().isReachable()) {
      onDoubt(pool, "the primary is unreachable");
    } else if (leader.get().entry().draining() && open.stage == Stage.REST && !isQuiet(open)) {
      open.stage = Stage.SURVEY;
      open.reason = "the primary leaves";
      loop()
          .schedule(
              ThreadLocalRandom.current().nextLong(LEAVING_SPREAD_MILLIS),
              () -> {
                if (open.stage == Stage.SURVEY && !isQuiet(open)) {
                  survey(open);
                } else {
                  open.stage = Stage.REST;
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
    Optional<MemberPool> leader = databases.apply(pool).flatMap(Database::leader);
    if (leader.isEmpty()) {
      result.accept(false);
    } else if (!member.isEmpty() && !leader.get().entry().id().equals(member)) {
      result.accept(true);
    } else {
      long distance = 2 * context.distanceMillis(leader.get().entry().domain());
      leader.get().inquiry().probe(PROBE_MILLIS + distance, result);
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
  private void onVote(Case open, long question, String proxy, boolean reachable) {
    if (open.stage == Stage.VOTE && open.question == question) {
      open.vote.answer(proxy, reachable);
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
  private void evaluate(Case open, long question, boolean over) {
    if (open.stage != Stage.VOTE || open.question != question) {
      return;
    }
    switch (open.vote.verdict(over)) {
      case FAILED -> {
        open.stage = Stage.SURVEY;
        survey(open);
      }
      case ALIVE -> keep(open, "a proxy reaches it");
      case OPEN -> {
        if (over) {
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
  private void keep(Case open, String reason) {
    log().event("primary-kept").with("pool", open.pool).with("reason", reason).write();
    open.stage = Stage.REST;
    pause(open, KEPT_PAUSE_MILLIS);
  }

  /**
   * Asks the other members for their positions.
   *
   * @param open The case.
   */
  private void survey(Case open) {
    peers.alive().forEach(peer -> peers.send(peer, new PeerMessage.Takeover(open.pool)));
    Optional<Database> database = databases.apply(open.pool);
    Optional<MemberPool> leader = database.flatMap(Database::leader);
    List<MemberPool> others =
        database.stream()
            .flatMap(found -> found.pools().stream())
            .filter(pool -> leader.filter(pool::equals).isEmpty() && pool.isReachable())
            .toList();
    List<Successor> found = new ArrayList<>();
    long number = ++open.surveyNumber;
    int[] awaited = {others.size()};
    for (MemberPool pool : others) {
      pool.inquiry()
          .askStatus(
              SURVEY_MILLIS,
              report -> {
                found.add(
                    new Successor(
                        pool.entry().id(),
                        report.map(r -> r.received()).orElse(pool.position()),
                        !pool.entry().draining(),
                        context.distanceMillis(pool.entry().domain())));
                if (--awaited[0] == 0 && open.surveyNumber == number) {
                  order(open, found);
                }
              });
    }
    if (others.isEmpty()) {
      keep(open, "no other member is reachable");
    }
  }

  /**
   * Orders a takeover by the best of the members.
   *
   * @param open The case.
   * @param found The members that answered.
   */
  private void order(Case open, List<Successor> found) {
    Successor chosen = Successor.choose(found).orElseThrow();
    open.stage = Stage.ORDER;
    log()
        .event("takeover-decided")
        .with("pool", open.pool)
        .with("member", chosen.member())
        .with("received", chosen.received())
        .with("candidates", found.size())
        .with("reason", open.reason)
        .write();
    boolean taken =
        orders.order(
            open.pool,
            chosen.member(),
            open.reason,
            result -> loop().submit(() -> onOrdered(open, result)));
    if (!taken) {
      keep(open, "too many orders wait");
    }
  }

  /**
   * Handles the result of an order.
   *
   * @param open The case.
   * @param result The result.
   */
  private void onOrdered(Case open, TakeoverOrders.OrderResult result) {
    context.metrics().counter("takeovers", "result", result.name()).inc();
    open.stage = Stage.REST;
    pause(
        open,
        result == TakeoverOrders.OrderResult.REFUSED ? KEPT_PAUSE_MILLIS : ORDER_PAUSE_MILLIS);
  }

  /**
   * Lets a case rest for a while.
   *
   * @param open The case.
   * @param millis The time in milliseconds.
   */
  private void pause(Case open, long millis) {
    open.quietUntil = loop().now() + millis * NANOS_IN_MILLI;
  }

  /**
   * Checks if a case rests.
   *
   * @param open The case.
   * @return {@code true} if no vote and no order is to start.
   */
  private boolean isQuiet(Case open) {
    return open.quietUntil - loop().now() > 0;
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

  /** The stage of a case. */
  private enum Stage {
    /** Nothing is going on. */
    REST,
    /** The proxies vote. */
    VOTE,
    /** The other members are asked for their positions. */
    SURVEY,
    /** The order is being given. */
    ORDER
  }

  /** What is going on about one primary. */
  private final class Case {

    /** The name of the pool. */
    private final String pool;

    /** The stage. */
    private Stage stage = Stage.REST;

    /** Why the primary is to be replaced. */
    private String reason = "";

    /** The number of the question of the present vote. */
    private long question;

    /** The present vote. */
    private PrimaryVote vote = new PrimaryVote(0);

    /** The number of the present survey. */
    private long surveyNumber;

    /** The reading of the steady clock until which nothing is started. */
    private long quietUntil = loop().now();

    /**
     * Creates a new case.
     *
     * @param pool The name of the pool.
     */
    private Case(String pool) {
      this.pool = pool;
    }
  }
}
