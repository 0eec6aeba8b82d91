package org.hickoryshed.session.promotion;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;
import org.hickoryshed.session.wire.MemberCommand;
import org.hickoryshed.session.wire.MemberStatusReport;

/**
 * Collects the status of the members of a database, once, with any command that returns it.
 *
 * <p>A member that does not respond may be alive behind a connection that went silent. If a
 * promotion depends on its log, it is asked again over a new connection.
 *
 * <p>Confined to the thread of the event loop.
 */
final class MemberStatusSurvey {

  /** The time for a member to report its status, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 150;

  /** The time to open a connection and to report the status over it, in milliseconds. */
  private static final long NEW_CONNECTION_TIMEOUT_MILLIS = 300;

  private final Database database;

  /** Chooses the command for each member. */
  private final Function<MemberConnectionPool, MemberCommand> commands;

  /** The reports so far, empty for members that did not respond in time. */
  private final Map<MemberConnectionPool, Optional<MemberStatusReport>> reports =
      new LinkedHashMap<>();

  /** Creates a survey that only asks for the status. */
  MemberStatusSurvey(Database database) {
    this(database, member -> new MemberCommand.ReportStatus());
  }

  /**
   * Creates a survey.
   *
   * @param database The database.
   * @param commands Chooses the command for each member.
   */
  MemberStatusSurvey(Database database, Function<MemberConnectionPool, MemberCommand> commands) {
    this.database = database;
    this.commands = commands;
  }

  /**
   * Asks the members.
   *
   * @param result Receives the reports, empty for members that did not respond in time.
   */
  void start(Consumer<Map<MemberConnectionPool, Optional<MemberStatusReport>>> result) {
    List<MemberConnectionPool> reachable =
        database.connectionPools().stream().filter(MemberConnectionPool::isReachable).toList();
    ask(
        reachable,
        (member, report) ->
            member.requests().command(commands.apply(member), TIMEOUT_MILLIS, report),
        () -> repeatIfNeeded(result));
  }

  private void repeatIfNeeded(
      Consumer<Map<MemberConnectionPool, Optional<MemberStatusReport>>> result) {
    List<MemberConnectionPool> replicas =
        database.connectionPools().stream()
            .filter(member -> database.claimedPrimary().filter(member::equals).isEmpty())
            .toList();
    List<MemberConnectionPool> missing =
        replicas.stream().filter(member -> !hasReported(member)).toList();
    if (database.promotionQuorum().isReachedBy(replicas.size() - missing.size())) {
      result.accept(reports);
      return;
    }
    ask(
        missing,
        (member, report) ->
            member
                .requests()
                .commandOverNewConnection(
                    commands.apply(member), NEW_CONNECTION_TIMEOUT_MILLIS, report),
        () -> result.accept(reports));
  }

  private boolean hasReported(MemberConnectionPool member) {
    return reports.getOrDefault(member, Optional.empty()).isPresent();
  }

  /** Sends a request to members and runs an action once all of them responded or timed out. */
  private void ask(
      Collection<MemberConnectionPool> members,
      BiConsumer<MemberConnectionPool, Consumer<Optional<MemberStatusReport>>> request,
      Runnable onAnswered) {
    if (members.isEmpty()) {
      onAnswered.run();
      return;
    }
    Collection<MemberConnectionPool> waiting = new HashSet<>(members);
    for (MemberConnectionPool member : members) {
      request.accept(
          member,
          report -> {
            reports.put(member, report);
            waiting.remove(member);
            if (waiting.isEmpty()) {
              onAnswered.run();
            }
          });
    }
  }

  /** Describes reports for the log. */
  static String describe(Map<MemberConnectionPool, Optional<MemberStatusReport>> reports) {
    return reports.entrySet().stream()
        .map(entry -> entry.getKey().entry().id() + "=" + describe(entry.getValue()))
        .collect(Collectors.joining(" "));
  }

  private static String describe(Optional<MemberStatusReport> report) {
    return report
        .map(
            known ->
                (known.primary() ? "primary " : known.isPaused() ? "paused " : "replica ")
                    + known.received().term()
                    + "."
                    + known.received().index())
        .orElse("none");
  }
}
