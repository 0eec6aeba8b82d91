package org.hickoryshed.session.member;

import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.decision.balancing.InFlightLimit;
import org.hickoryshed.decision.balancing.LendingWindow;
import org.hickoryshed.decision.balancing.LoadReport;
import org.hickoryshed.decision.balancing.MemberTrust;
import org.hickoryshed.decision.balancing.ReplicaCatchUp;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * Tracks the statements of this process at one member: how many are in flight and how they ended.
 *
 * <p>Confined to the thread of the event loop.
 */
public final class MemberTraffic {

  /** How long a member counts as full after its holder declined a statement, in milliseconds. */
  private static final long FULL_MILLIS = 100;

  private static final long NANOS_PER_MILLI = 1_000_000;

  private final MemberContext context;

  private final MemberEntry entry;

  private final Runnable onRoom;

  private final MemberTrust trust;

  private final LendingWindow window;

  private final InFlightLimit limit;

  private final ReplicaCatchUp catchUp = new ReplicaCatchUp();

  /** The number of statements that were sent over own connections and have no response. */
  private int inFlight;

  /** The number of lent connections that no statement was sent on yet. */
  private int reserved;

  /** Until when the holder of the member's connections counts as having none to spare. */
  private long fullUntil;

  private Optional<LoadReport> report = Optional.empty();

  private long reportedAt;

  /** When the last response arrived over an own connection. */
  private long respondedAt;

  /**
   * Starts without statements.
   *
   * @param connectionLimit The number of connections that the member accepts.
   * @param onRoom Serves the waiting statements once the member may have room again.
   */
  MemberTraffic(MemberContext context, MemberEntry entry, int connectionLimit, Runnable onRoom) {
    this.onRoom = onRoom;
    this.context = context;
    this.entry = entry;
    long now = context.loop().now();
    trust = new MemberTrust(now);
    window = new LendingWindow(entry.slots(), connectionLimit, now);
    limit = new InFlightLimit(entry.slots(), connectionLimit, now);
    fullUntil = now;
  }

  /**
   * Changes what the member accepts.
   *
   * @param slots The number of statements that it runs concurrently.
   * @param connectionLimit The number of connections that it accepts.
   */
  void resize(int slots, int connectionLimit) {
    window.limit(connectionLimit);
    limit.resize(slots, connectionLimit);
  }

  /** Returns the number of statements that were sent over own connections and have no response. */
  public int inFlight() {
    return inFlight;
  }

  /** Returns whether the outcomes of the recent statements allow the use of the member. */
  public MemberTrust.State trust() {
    return trust.state(context.loop().now());
  }

  /** Returns the number of statements that may be in flight before others are sent elsewhere. */
  public int window() {
    return window.size();
  }

  /**
   * Checks if a statement that another member can serve is better sent there.
   *
   * @param waiting The number of statements that wait for a connection of this process.
   */
  public boolean prefersOther(int waiting) {
    return window.isFull(inFlight + waiting) || trust() == MemberTrust.State.DISTRUSTED;
  }

  /** Records that the holder of the member's connections declined a statement. */
  public void markFull() {
    fullUntil = context.loop().now() + FULL_MILLIS * NANOS_PER_MILLI;
  }

  /** Checks if the holder declined a statement a short time ago, or own connections are busy. */
  boolean isFull() {
    return fullUntil - context.loop().now() > 0 || window.isFull(inFlight);
  }

  /** Returns the log position that the member reported last. */
  LogPosition position() {
    return catchUp.held();
  }

  /** Records what the holder of the member's connections said about the member. */
  public void onReport(int reportedInFlight, long responseNanos) {
    report = Optional.of(new LoadReport(reportedInFlight, responseNanos, 0));
    reportedAt = context.loop().now();
  }

  /** Returns the recent response time over own connections in nanoseconds, zero if unknown. */
  public long responseNanos() {
    return window.responseNanos();
  }

  /** Returns what is known of the member's load beyond the statements of this process. */
  Optional<LoadReport> report() {
    long now = context.loop().now();
    boolean ownIsNewer = report.isEmpty() || respondedAt - reportedAt >= 0;
    if (window.responseNanos() > 0 && ownIsNewer) {
      long age = (now - respondedAt) / NANOS_PER_MILLI;
      return Optional.of(new LoadReport(0, window.responseNanos(), age));
    }
    long age = (now - reportedAt) / NANOS_PER_MILLI;
    return report.map(said -> new LoadReport(said.inFlight(), said.responseNanos(), age));
  }

  /** Checks if the member is known, or likely, to hold a position. */
  public boolean mayHold(LogPosition required) {
    return catchUp.mayHold(context.loop().now(), required);
  }

  /** Checks if the member is known to hold a position. */
  boolean holds(LogPosition required) {
    return catchUp.holds(required);
  }

  /** Checks if one more statement may be sent over connections of this process. */
  boolean mayLend() {
    return limit.allows(context.loop().now(), inFlight + reserved);
  }

  /**
   * Adjusts the number of lent connections that no statement was sent on yet.
   *
   * @param change What to add to the number.
   */
  void countReserved(int change) {
    reserved += change;
  }

  /** Handles the log position in a message of the member. */
  void onPosition(LogPosition position) {
    catchUp.onPosition(position);
  }

  /** Handles a statement that got no response in time. */
  void onTimeout() {
    recordOutcome(false);
  }

  /**
   * Tracks a statement that is sent to the member over a connection of this process.
   *
   * @param required The position that the member's log must hold, if any.
   * @param receiver Receives the response.
   * @return The receiver to use instead.
   */
  Consumer<MemberResponse> trackDirect(
      Optional<LogPosition> required, Consumer<MemberResponse> receiver) {
    long sentAt = context.loop().now();
    inFlight++;
    Consumer<MemberResponse> tracked = trackRelayed(required, receiver);
    return response -> {
      long now = context.loop().now();
      if (response instanceof MemberResponse.Failed failed
          && failed.kind() == FailureKind.OVERLOADED) {
        window.onRefused(now);
        long pause = limit.onRefused(now, inFlight);
        context.loop().schedule(pause / NANOS_PER_MILLI + 1, onRoom);
        if (inFlight <= entry.slots()) {
          // The statements of this process don't explain the refusal.
          recordOutcome(false);
        }
      } else if (response instanceof MemberResponse.Done) {
        respondedAt = now;
        window.onResponse(now, now - sentAt, inFlight);
        limit.onServed(now, inFlight);
      }
      inFlight--;
      tracked.accept(response);
    };
  }

  /** Tracks a statement like {@link #trackDirect}, but over a connection of another proxy. */
  public Consumer<MemberResponse> trackRelayed(
      Optional<LogPosition> required, Consumer<MemberResponse> receiver) {
    trust.onSent(context.loop().now());
    required.ifPresent(position -> catchUp.onSent(context.loop().now(), position));
    return response -> {
      switch (response) {
        case MemberResponse.Done done -> recordOutcome(true);
        case MemberResponse.Lost lost -> recordOutcome(false);
        case MemberResponse.Failed failed -> onFailed(failed.kind(), required);
      }
      receiver.accept(response);
    };
  }

  private void onFailed(FailureKind kind, Optional<LogPosition> required) {
    switch (kind) {
      case FAILED, TIMED_OUT -> recordOutcome(false);
      case OVERLOADED -> markFull();
      case BEHIND ->
          required.ifPresent(position -> catchUp.onMissing(context.loop().now(), position));
      default -> {
        // The member did what it should, or the statement is at fault.
      }
    }
  }

  private void recordOutcome(boolean served) {
    if (trust.onOutcome(context.loop().now(), served)) {
      context
          .log()
          .event(served ? "member-trusted" : "member-distrusted")
          .with("member", entry.id())
          .with("pool", entry.pool())
          .with("in-flight", inFlight)
          .write();
      context.metrics().counter("member_trust_changes", "trusted", String.valueOf(served)).inc();
    }
  }
}
