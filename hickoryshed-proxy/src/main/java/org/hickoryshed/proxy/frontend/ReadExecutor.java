package org.hickoryshed.proxy.frontend;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.route.MemberSelector;
import org.hickoryshed.decision.route.ReadRequirement;
import org.hickoryshed.decision.route.RetryBudget;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;
import org.hickoryshed.proxy.document.ActiveDocuments;

/**
 * The way of a read: to the nearest member that may lawfully answer it.
 *
 * @param documents The documents in force.
 * @param forwarder The forwarder.
 * @param locator The locator.
 * @param choice The choice among members.
 * @param budget The budget of retries.
 */
record ReadExecutor(
    ActiveDocuments documents,
    Forwarder forwarder,
    DatabaseStateCache locator,
    MemberSelector choice,
    RetryBudget budget) {

  /** The pause between two rounds over the members in milliseconds. */
  private static final long ROUND_PAUSE = 10;

  /** The time in milliseconds after which an unanswered barrier is asked for again. */
  private static final long BARRIER_TIMEOUT = 500;

  /**
   * Runs a read.
   *
   * @param request The request.
   * @return The outcome.
   */
  Outcome execute(CallerRequest request) {
    budget.onFirstTry();
    Outcome latest = new Outcome.NotRun(Reason.NO_PRIMARY, "no primary proves what is current");
    while (true) {
      Optional<LogPosition> floor = floor(request);
      if (floor.isPresent()) {
        latest = tryMembers(request, floor.get(), latest);
        if (isFinal(latest)) {
          return latest;
        }
      }
      if (request.isExpired() || (reachedMember(latest) && !budget.tryRetry())) {
        return toNotRun(latest);
      }
      Pause.millis(ROUND_PAUSE);
    }
  }

  /**
   * Tries the members once, from near to far.
   *
   * @param request The request.
   * @param floor The position that the member must have applied.
   * @param before The latest outcome.
   * @return The outcome of the last member that was tried.
   */
  private Outcome tryMembers(CallerRequest request, LogPosition floor, Outcome before) {
    Database database = request.database();
    Set<String> leaving = new HashSet<>(documents.vmList().leavingMembers());
    locator.findPrimary(database);
    boolean primaryOnly =
        request.route().reads() == Route.Reads.PRIMARY && request.maxAgeMillis().isEmpty();
    List<Member> members = choice.forRead(database, locator.view(database), leaving, primaryOnly);
    Outcome latest = before;
    for (Member member : members) {
      Message.Executed executed = forwarder.execute(member, message(request, member, floor));
      executed.status().ifPresent(status -> locator.updateStatus(database, status));
      latest = executed.outcome();
      if (isFinal(latest) || request.isExpired()) {
        return latest;
      }
    }
    return latest;
  }

  /**
   * Returns the position that a member must have applied.
   *
   * @param request The request.
   * @return The position or an empty optional if it could not be proved yet.
   */
  private Optional<LogPosition> floor(CallerRequest request) {
    Database database = request.database();
    ReadRequirement requirement =
        ReadRequirement.of(request.token(), database.name(), request.maxAgeMillis());
    return switch (requirement) {
      case ReadRequirement.ForSession(LogPosition floor) -> Optional.of(floor);
      case ReadRequirement.ForBarrier() ->
          request.route().reads() == Route.Reads.PRIMARY
              ? Optional.of(LogPosition.ORIGIN)
              : barrier(request);
      case ReadRequirement.ForAge(LogPosition floor, int maxAge) ->
          locator.recentBarrier(database, maxAge).or(() -> barrier(request)).map(floor::merge);
    };
  }

  /**
   * Asks for a barrier.
   *
   * @param request The request.
   * @return The position of the barrier or an empty optional.
   */
  private Optional<LogPosition> barrier(CallerRequest request) {
    return locator.requestBarrier(
        request.database(), Math.min(BARRIER_TIMEOUT, request.remainingMillis()));
  }

  /**
   * Creates the message for a pooler.
   *
   * @param request The request.
   * @param member The member.
   * @param floor The position that the member must have applied.
   * @return The message.
   */
  private static Message.Execute message(CallerRequest request, Member member, LogPosition floor) {
    return new Message.Execute(
        request.database().name(),
        member.name(),
        request.label(),
        Work.Kind.READ,
        request.statement(),
        floor,
        Optional.empty(),
        Optional.empty(),
        false,
        request.route().priority(),
        request.remainingMillis());
  }

  /**
   * Checks if an outcome ends the request.
   *
   * @param outcome The outcome.
   * @return {@code true} if trying elsewhere does not help.
   */
  private static boolean isFinal(Outcome outcome) {
    return switch (outcome) {
      case Outcome.Done ignored -> true;
      case Outcome.NotRun notRun -> notRun.reason() == Reason.REJECTED;
      case Outcome.Unknown ignored -> false;
    };
  }

  /**
   * Checks if an attempt cost a database work, so that repeating it needs the budget.
   *
   * @param outcome The outcome of the attempt.
   * @return {@code true} if a member was reached.
   */
  private static boolean reachedMember(Outcome outcome) {
    return switch (outcome) {
      case Outcome.NotRun notRun -> notRun.reason() == Reason.OVERLOADED;
      case Outcome.Unknown ignored -> true;
      case Outcome.Done ignored -> true;
    };
  }

  /**
   * Turns an unknown outcome of a read into one that did not run, because a read has no effect.
   *
   * @param outcome The outcome.
   * @return The outcome for the caller.
   */
  private static Outcome toNotRun(Outcome outcome) {
    return switch (outcome) {
      case Outcome.Unknown(Reason reason, String detail) -> new Outcome.NotRun(reason, detail);
      case Outcome.Done done -> done;
      case Outcome.NotRun notRun -> notRun;
    };
  }
}
