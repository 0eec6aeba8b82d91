package org.hickoryshed.decision.directory;

/**
 * Orders the revisions of a store that may be restored from an older copy of itself.
 *
 * <p>A restored store gives out again the revisions that it lost. Its era rises each time it is
 * restored, so a revision is qualified by it: one number holds the era above the revision, and
 * numbers of a later era are higher whatever their revisions. In the first era, and where the store
 * tells no era, a qualified revision is the plain one.
 */
public final class RevisionOrder {

  /** The era before the store was restored for the first time. */
  public static final long FIRST_ERA = 1;

  /** The highest era that can be told from others. */
  public static final long MAX_ERA = 1 << 18;

  private static final int REVISION_BITS = 44;

  private static final long REVISION_MASK = (1L << REVISION_BITS) - 1;

  private RevisionOrder() {}

  /** Returns the qualified revision of a revision that the store gave out in an era. */
  public static long qualify(long era, long revision) {
    return ((era - FIRST_ERA) << REVISION_BITS) | (revision & REVISION_MASK);
  }

  /** Returns the era of a qualified revision. */
  public static long eraOf(long qualified) {
    return (qualified >>> REVISION_BITS) + FIRST_ERA;
  }

  /** Returns the revision as the store knows it. */
  public static long plain(long qualified) {
    return qualified & REVISION_MASK;
  }
}
