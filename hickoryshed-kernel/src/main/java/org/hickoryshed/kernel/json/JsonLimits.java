package org.hickoryshed.kernel.json;

/**
 * Limits on the values of a JSON text that several writers contributed to. A value beyond them is
 * read as {@code null}.
 *
 * @param depth The number of arrays and objects around a value from which on the other limits
 *     apply.
 * @param maxValueBytes The longest text of a value in bytes.
 * @param maxNesting The largest number of arrays and objects that contain each other from that
 *     depth on.
 */
public record JsonLimits(int depth, int maxValueBytes, int maxNesting) {

  /** Deeper nesting is never read. */
  static final int MAX_DEPTH = 32;

  /** Limits nothing but the nesting of the whole text. */
  public static final JsonLimits NONE = new JsonLimits(MAX_DEPTH, Integer.MAX_VALUE, MAX_DEPTH);

  /** Returns the number of arrays and objects that may be open at the same time. */
  int maxOpen() {
    return Math.min(depth + maxNesting, MAX_DEPTH);
  }
}
