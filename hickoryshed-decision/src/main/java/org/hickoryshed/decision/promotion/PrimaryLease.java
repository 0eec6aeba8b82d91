package org.hickoryshed.decision.promotion;

import java.util.OptionalLong;
import org.hickoryshed.decision.freshness.ClockReading;

/**
 * The right of one proxy to use the primary of one pool where nobody else stops a replaced primary.
 *
 * <p>It rests on evidence that no promotion was recorded at a known time. A promotion takes effect
 * no sooner than {@link #VALID_MILLIS} after its record, or after all proxies gave their right up;
 * see {@link PrimaryRelease}. So the primary can't have been replaced as long as the evidence is
 * younger than that. Its age counts from when it was asked for, however late the answer arrives,
 * and on both clocks, so that a process that was frozen finds it old.
 *
 * <p>Not thread-safe.
 */
public final class PrimaryLease {

  /** The age from which evidence proves nothing any more, in milliseconds. */
  public static final long VALID_MILLIS = 800;

  private static final ClockReading NEVER = new ClockReading(0, 0);

  /** The member that the evidence is about, empty without evidence. */
  private String member = "";

  /** When the latest evidence was asked for; valid only with a member. */
  private ClockReading askedAt = NEVER;

  /** True if this proxy has had evidence since its start, and since its last promise. */
  private boolean confirmed;

  /** The only member that may be used until {@link #promisedUntil}, empty without a promise. */
  private String successor = "";

  /** When the last promise to a promotion ends; valid only with a successor. */
  private ClockReading promisedUntil = NEVER;

  /**
   * Records evidence that no promotion away from a member was recorded at a time.
   *
   * @param primary The identifier of the member.
   * @param asked When the evidence was asked for. Evidence older than the known one is ignored.
   */
  public void recordEvidence(String primary, ClockReading asked) {
    if (!primary.equals(member) || isLater(asked, askedAt)) {
      member = primary;
      askedAt = asked;
    }
    if (successor.isEmpty() || isLater(asked, promisedUntil)) {
      confirmed = true;
      successor = "";
    }
  }

  /**
   * Records that this proxy promised to a promotion to use no other member than the one that is to
   * be promoted. Until the promise has ended and there is later evidence, or the promotion took
   * effect, it confirms no primary to others.
   *
   * @param promoted The identifier of the member.
   * @param now The time.
   * @param millis How long the promise lasts, in milliseconds.
   */
  public void promise(String promoted, ClockReading now, long millis) {
    confirmed = false;
    successor = promoted;
    promisedUntil = now.minusMillis(-millis);
  }

  /**
   * Records that a member proved to be the primary of a later term than all others. That ends a
   * promise to its promotion, and no other one: the proof may have been late.
   *
   * @param member The identifier of the member.
   * @param now The time.
   */
  public void recordProof(String member, ClockReading now) {
    if (!isPromisedAway(member, now)) {
      confirmed = true;
      successor = "";
    }
  }

  /**
   * Checks if this proxy promised not to use a member.
   *
   * @param primary The identifier of the member.
   * @param now The time.
   */
  public boolean isPromisedAway(String primary, ClockReading now) {
    return !successor.isEmpty() && !successor.equals(primary) && isLater(promisedUntil, now);
  }

  /**
   * Checks if this proxy may use a member as the primary.
   *
   * @param primary The identifier of the member.
   * @param now The time.
   */
  public boolean mayUse(String primary, ClockReading now) {
    return !isPromisedAway(primary, now) && isHeld(primary, now);
  }

  /**
   * Checks if this proxy may confirm a primary to others: not after a start, since the process may
   * have promised something before it, and not after a promise, until there is later evidence.
   *
   * @param primary The identifier of the member.
   * @param now The time.
   */
  public boolean mayConfirm(String primary, ClockReading now) {
    return confirmed && !isPromisedAway(primary, now);
  }

  /**
   * Checks if a member was certainly not replaced as the primary before a time.
   *
   * @param primary The identifier of the member.
   * @param time The time, as read in this process.
   */
  public boolean isHeld(String primary, ClockReading time) {
    return ageMillis(primary, time).orElse(VALID_MILLIS) < VALID_MILLIS;
  }

  /**
   * Returns the age of the latest evidence at a time.
   *
   * @param primary The identifier of the member that it must be about.
   * @param time The time, as read in this process.
   * @return The age in milliseconds, negative if the time is before it; empty without evidence.
   */
  public OptionalLong ageMillis(String primary, ClockReading time) {
    return primary.equals(member)
        ? OptionalLong.of(time.millisSince(askedAt))
        : OptionalLong.empty();
  }

  /**
   * Checks if this proxy promised not to use a member and does not know yet if the promotion took
   * effect, also if the promise has ended.
   *
   * @param primary The identifier of the member.
   */
  public boolean isInDoubt(String primary) {
    return !successor.isEmpty() && !successor.equals(primary);
  }

  /** Checks if this proxy has had evidence since its start and its last promise. */
  public boolean isConfirmed() {
    return confirmed;
  }

  private static boolean isLater(ClockReading reading, ClockReading other) {
    return reading.monotonicNanos() - other.monotonicNanos() > 0;
  }
}
