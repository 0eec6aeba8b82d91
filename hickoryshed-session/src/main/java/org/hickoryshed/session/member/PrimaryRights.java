package org.hickoryshed.session.member;

import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.promotion.PrimaryLease;

/**
 * The right of this process to use the primary of one database where the platform does not fence a
 * replaced primary. Where it does, every method permits everything.
 *
 * <p>Confined to the thread of the event loop.
 */
public final class PrimaryRights {

  /** The time without a right after which this process counts as out of touch, in milliseconds. */
  private static final long OUT_OF_TOUCH_MILLIS = 300;

  /** The time for which a started process waits for its first evidence, in milliseconds. */
  private static final long MAX_SETTLING_MILLIS = 1000;

  private final MemberContext context;

  private final ClockReading created;

  private final PrimaryLease lease = new PrimaryLease();

  PrimaryRights(MemberContext context) {
    this.context = context;
    created = context.loop().readClocks();
  }

  /** Returns the evidence that the primary was not replaced. */
  public PrimaryLease lease() {
    return lease;
  }

  /**
   * Checks if this process has had evidence about the primary since its start, or has waited for it
   * long enough.
   */
  public boolean isSettled() {
    return isFenced()
        || lease.isConfirmed()
        || context.loop().readClocks().millisSince(created) > MAX_SETTLING_MILLIS;
  }

  /**
   * Checks if a member may be used as the primary now.
   *
   * @param member The identifier of the member.
   */
  public boolean mayUse(String member) {
    return isFenced() || lease.mayUse(member, context.loop().readClocks());
  }

  /**
   * Checks if a member was certainly not replaced as the primary before a time, so that its log
   * covers what was acknowledged before.
   *
   * @param member The identifier of the member.
   * @param time The time.
   */
  public boolean wasPrimaryAt(String member, ClockReading time) {
    return isFenced() || lease.isHeld(member, time);
  }

  /**
   * Checks if this process promised to a promotion not to use a member.
   *
   * @param member The identifier of the member.
   */
  public boolean isPromisedAway(String member) {
    return !isFenced() && lease.isPromisedAway(member, context.loop().readClocks());
  }

  /**
   * Promises to use no other member than the one that is to be promoted.
   *
   * @param promoted The identifier of that member.
   * @param millis How long the promise lasts, in milliseconds.
   */
  void promise(String promoted, long millis) {
    lease.promise(promoted, context.loop().readClocks(), millis);
  }

  /** Handles the proof that a member is the primary of a later term than all others. */
  void onProof(String member) {
    lease.recordProof(member, context.loop().readClocks());
  }

  /**
   * Checks if this process has had no right to use a member for some time, although it promised
   * nothing. A caller then does better to try another process.
   *
   * @param member The identifier of the member.
   */
  boolean isOutOfTouch(String member) {
    return !isFenced()
        && !isPromisedAway(member)
        && lease
                .ageMillis(member, context.loop().readClocks())
                .orElseGet(() -> context.loop().readClocks().millisSince(created))
            > PrimaryLease.VALID_MILLIS + OUT_OF_TOUCH_MILLIS;
  }

  private boolean isFenced() {
    return context.fencedByPlatform().getAsBoolean();
  }
}
