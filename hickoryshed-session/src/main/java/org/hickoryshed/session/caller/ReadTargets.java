package org.hickoryshed.session.caller;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.member.MemberConnectionPool;

/** Remembers which members a statement was sent to, and chooses the next one. */
final class ReadTargets {

  /** How long other members are preferred to one that lacked a position, in milliseconds. */
  private static final long BEHIND_MILLIS = 60;

  private final Metrics metrics;

  /** The identifiers of the members that the statement is not sent to again. */
  private final Set<String> excluded = new HashSet<>();

  /** The position that the last choice required. */
  private Optional<LogPosition> required = Optional.empty();

  /** True once a holder of connections sent the statement elsewhere. */
  private boolean declined;

  ReadTargets(Metrics metrics) {
    this.metrics = metrics;
  }

  /**
   * Chooses the member for a read.
   *
   * @param database The database.
   * @param required The position that the member's log must hold.
   * @param workspace The workspace of the read, empty if it belongs to none.
   * @return The pool of the member, empty if none is usable.
   */
  Optional<MemberConnectionPool> select(
      Database database, LogPosition required, Optional<String> workspace) {
    this.required = Optional.of(required);
    return database.readers().select(excluded, required, workspace);
  }

  /**
   * Checks if the statement may be sent elsewhere once more. A second time would cost more than the
   * wait that it saves.
   */
  boolean mayBeDeclined() {
    return !declined;
  }

  /** Records that the holder of the connections to a member sent the statement elsewhere. */
  void onDeclined(MemberConnectionPool member) {
    declined = true;
    metrics.counter("reads_declined", "domain", member.entry().domain()).inc();
    exclude(member);
  }

  /**
   * Handles a member that refused to run the statement.
   *
   * @param kind Why it refused.
   * @param database The database, empty if the route's pool never had a member.
   */
  void onNotRun(MemberConnectionPool member, FailureKind kind, Optional<Database> database) {
    switch (kind) {
      case BEHIND -> {
        exclude(member);
        database.ifPresent(known -> required.ifPresent(known.readers()::onBehind));
        member.markBehind(BEHIND_MILLIS);
      }
      case NOT_PRIMARY -> database.ifPresent(known -> known.onNotPrimary(member));
      default -> metrics.counter("member_refusals", "kind", kind.name()).inc();
    }
  }

  /** Excludes a member from the next choices. */
  void exclude(MemberConnectionPool member) {
    excluded.add(member.entry().id());
  }

  /** Allows all members again. */
  void reset() {
    excluded.clear();
  }
}
