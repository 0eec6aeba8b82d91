package org.hickoryshed.session.explain;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.balancing.Assessment;
import org.hickoryshed.decision.balancing.ReaderCandidate;
import org.hickoryshed.decision.balancing.ReaderSelector;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.freshness.FloorHistory;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.caller.SessionContext;
import org.hickoryshed.session.member.ConnectionSharing;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;

/**
 * Explains where a statement would go now. The member is chosen by the same code that chooses for
 * callers; nothing is sent.
 *
 * <p>Confined to the thread of the event loop.
 */
public final class RouteExplainer {

  private final String proxy;

  private final SessionContext context;

  private final ConnectionSharing sharing;

  /**
   * Creates an explainer.
   *
   * @param proxy The name of this proxy.
   * @param context The routes and databases.
   * @param sharing Tells through which proxy a connection is borrowed.
   */
  public RouteExplainer(String proxy, SessionContext context, ConnectionSharing sharing) {
    this.proxy = proxy;
    this.context = context;
    this.sharing = sharing;
  }

  /**
   * Explains where a statement would go.
   *
   * @param question What is asked.
   */
  public RouteExplanation explain(Question question) {
    Optional<DatabaseRoute> route =
        Optional.ofNullable(context.desired().routes().get(question.route()));
    Optional<Database> database = route.flatMap(context::database);
    if (database.isEmpty()) {
      return unserved(question, route);
    }
    Database known = database.get();
    Optional<LogPosition> required = requiredPosition(question, route.get(), known);
    Optional<ReaderSelector.Selection> selection =
        required.map(position -> known.readers().assess(Set.of(), position, question.workspace()));
    Optional<MemberConnectionPool> member =
        selection
            .flatMap(ReaderSelector.Selection::member)
            .flatMap(known::connectionPool)
            .or(() -> known.primary().filter(MemberConnectionPool::isReachable));
    return new RouteExplanation(
        proxy,
        context.desired().version(),
        question.route(),
        question.workspace(),
        Optional.of(route.get().pool()),
        Optional.of(text(route.get().freshness())),
        Optional.of(known.readers().isEven() ? "even" : "nearest"),
        required.map(RouteExplainer::text),
        known
            .floors()
            .latest()
            .map(floor -> context.loop().readClocks().millisSince(floor.sentAt())),
        member.map(pool -> pool.entry().id()),
        outcome(member),
        known.connectionPools().stream()
            .map(pool -> line(known, pool, question.workspace(), selection))
            .toList());
  }

  private RouteExplanation unserved(Question question, Optional<DatabaseRoute> route) {
    return new RouteExplanation(
        proxy,
        context.desired().version(),
        question.route(),
        question.workspace(),
        route.map(DatabaseRoute::pool),
        route.map(known -> text(known.freshness())),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        Optional.empty(),
        route.isEmpty() ? "refused: no such route" : "waits: no member of the pool is known",
        List.of());
  }

  /** Returns the position that a member must hold, empty if only the primary may respond. */
  private Optional<LogPosition> requiredPosition(
      Question question, DatabaseRoute route, Database database) {
    if (question.write() || route.freshness() == DatabaseRoute.Freshness.PRIMARY) {
      return Optional.empty();
    }
    Optional<LogPosition> commit =
        question.atFloor()
            ? database.floors().latest().map(FloorHistory.Floor::position)
            : question.commit();
    return database
        .floors()
        .requiredPosition(context.loop().readClocks(), route.maximumAgeMillis(), commit);
  }

  private static String outcome(Optional<MemberConnectionPool> member) {
    if (member.isEmpty()) {
      return "waits: no member can serve it";
    }
    return member.get().counts().waiting() > 0
        ? "waits for a connection behind " + member.get().counts().waiting() + " statements"
        : "is sent";
  }

  private RouteExplanation.MemberLine line(
      Database database,
      MemberConnectionPool pool,
      Optional<String> workspace,
      Optional<ReaderSelector.Selection> selection) {
    boolean primary = database.primary().filter(pool::equals).isPresent();
    Optional<Assessment> assessment =
        selection.stream()
            .flatMap(known -> known.assessments().stream())
            .filter(known -> known.candidate().id().equals(pool.entry().id()))
            .findFirst();
    Optional<Assessment.Verdict> verdict = assessment.map(Assessment::verdict);
    return new RouteExplanation.MemberLine(
        pool.entry().id(),
        pool.entry().domain(),
        primary,
        verdict
            .map(RouteExplainer::text)
            .orElse(primary ? "only the primary may respond" : "not the primary"),
        verdict
            .filter(Assessment.Eligible.class::isInstance)
            .map(eligible -> ((Assessment.Eligible) eligible).share())
            .orElse(primary && verdict.isEmpty() ? 1.0 : 0.0),
        sharing.lender(pool, workspace),
        text(pool.position()),
        pool.busyCount(),
        pool.traffic().window(),
        text(pool.traffic().trust()),
        assessment.flatMap(known -> known.candidate().report()).map(report -> report.ageMillis()));
  }

  private static String text(Assessment.Verdict verdict) {
    return switch (verdict) {
      case Assessment.Eligible eligible -> "eligible";
      case Assessment.Unable(ReaderCandidate.Obstacle obstacle) -> text(obstacle);
      case Assessment.Distrusted distrusted -> "spared: its responses fail";
      case Assessment.Full full -> "spared: there is more room elsewhere";
    };
  }

  private static String text(Enum<?> constant) {
    return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
  }

  private static String text(LogPosition position) {
    return position.term() + "." + position.index();
  }

  /**
   * What an operator asks.
   *
   * @param route The name of the database.
   * @param workspace The workspace, if any.
   * @param write True for a statement that may write.
   * @param commit The last commit of the session, if any.
   * @param atFloor True if the session has seen the newest known commit.
   */
  public record Question(
      String route,
      Optional<String> workspace,
      boolean write,
      Optional<LogPosition> commit,
      boolean atFloor) {}
}
