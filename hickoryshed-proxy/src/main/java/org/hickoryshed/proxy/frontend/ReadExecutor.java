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
 * Runs reads: tries the members from near to far until one has applied everything that the read
 * must see.
 *
 * @param documents The active configuration and VM list.
 * @param forwarder Sends requests to the poolers of members.
 * @param stateCache What is known of the members of each database.
 * @param memberSelector Orders the members by distance.
 * @param retryBudget Limits retries to a share of all requests.
 */
record ReadExecutor(
    ActiveDocuments documents,
    Forwarder forwarder,
    DatabaseStateCache stateCache,
    MemberSelector memberSelector,
    RetryBudget retryBudget) {

  /** The pause between two rounds over the members in milliseconds. */
  private static final long ROUND_INTERVAL_MILLIS = 10;

  /** Milliseconds after which an unanswered request for a read barrier is repeated. */
  private static final long BARRIER_TIMEOUT_MILLIS = 500;

  /**
   * Runs a read. Blocks until a member answered, the deadline passed or the retry budget is used
   * up.
   */
  Outcome execute(CallerRequest request) {
    retryBudget.onFirstTry();
    Outcome latest = new Outcome.NotRun(Reason.NO_PRIMARY, "no primary proved a read barrier");
    while (true) {
      Optional<LogPosition> floor = floor(request);
      if (floor.isPresent()) {
        latest = tryMembers(request, floor.get(), latest);
        if (isFinal(latest)) {
          return latest;
        }
      }
      if (request.isExpired() || (reachedMember(latest) && !retryBudget.tryRetry())) {
        return toNotRun(latest);
      }
      Pause.millis(ROUND_INTERVAL_MILLIS);
    }
  }

  /**
   * Tries each member once, from near to far.
   *
   * @param floor The position that the member must have applied.
   * @param previous The outcome of the round before, returned if there is no member to try.
   * @return The outcome of the last member that was tried.
   */
  private Outcome tryMembers(CallerRequest request, LogPosition floor, Outcome previous) {
    Database database = request.database();
    Set<String> leaving = new HashSet<>(documents.vmList().leavingMembers());
    stateCache.findPrimary(database);
    boolean primaryOnly =
        request.route().reads() == Route.Reads.PRIMARY && request.maxAgeMillis().isEmpty();
    List<Member> members =
        memberSelector.forRead(database, stateCache.view(database), leaving, primaryOnly);
    Outcome latest = previous;
    for (Member member : members) {
      Message.Executed executed = forwarder.execute(member, message(request, member, floor));
      executed.status().ifPresent(status -> stateCache.updateStatus(database, status));
      latest = executed.outcome();
      if (isFinal(latest) || request.isExpired()) {
        return latest;
      }
    }
    return latest;
  }

  /**
   * Returns the position that a member must have applied to serve the read.
   *
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
          stateCache.recentBarrier(database, maxAge).or(() -> barrier(request)).map(floor::merge);
    };
  }

  /**
   * Requests a read barrier.
   *
   * @return The position of the barrier or an empty optional if none was proved in time.
   */
  private Optional<LogPosition> barrier(CallerRequest request) {
    return stateCache.requestBarrier(
        request.database(), Math.min(BARRIER_TIMEOUT_MILLIS, request.remainingMillis()));
  }

  /**
   * Creates the message for a pooler.
   *
   * @param floor The position that the member must have applied.
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

  /** Checks if an outcome ends the request, because another member would not answer differently. */
  private static boolean isFinal(Outcome outcome) {
    return switch (outcome) {
      case Outcome.Done ignored -> true;
      case Outcome.NotRun notRun -> notRun.reason() == Reason.REJECTED;
      case Outcome.Unknown ignored -> false;
    };
  }

  /**
   * Checks if an attempt may have cost a member work, so that a retry is charged to the budget.
   *
   * @return {@code true} if a member was reached.
   */
  private static boolean reachedMember(Outcome outcome) {
    return switch (outcome) {
      case Outcome.NotRun notRun -> notRun.reason() == Reason.OVERLOADED;
      case Outcome.Unknown ignored -> true;
      case Outcome.Done ignored -> true;
    };
  }

  /** Turns an unknown outcome of a read into one that did not run, because a read has no effect. */
  private static Outcome toNotRun(Outcome outcome) {
    return switch (outcome) {
      case Outcome.Unknown(Reason reason, String detail) -> new Outcome.NotRun(reason, detail);
      case Outcome.Done done -> done;
      case Outcome.NotRun notRun -> notRun;
    };
  }
}
