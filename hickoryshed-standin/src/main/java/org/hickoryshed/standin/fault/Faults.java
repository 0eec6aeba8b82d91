package org.hickoryshed.standin.fault;

import java.util.List;

/**
 * The faults of a stand-in.
 *
 * @param delayMillis The time in milliseconds by which each request is delayed.
 * @param refuse {@code true} if each request is refused without an effect.
 * @param dropAnswers The number of effects whose answers are lost.
 * @param cut The prefixes of the source addresses that are cut off.
 * @param lagMillis The time in milliseconds by which a replica applies entries late.
 * @param exit {@code true} if the process is to halt at once.
 */
public record Faults(
    int delayMillis,
    boolean refuse,
    int dropAnswers,
    List<String> cut,
    int lagMillis,
    boolean exit) {

  /** No faults. */
  public static final Faults NONE = new Faults(0, false, 0, List.of(), 0, false);

  /** Creates new faults. */
  public Faults {
    cut = cut == null ? List.of() : List.copyOf(cut);
  }

  /**
   * Sets the lag of a replica.
   *
   * @param millis The time in milliseconds by which a replica applies entries late.
   * @return The changed faults.
   */
  public Faults withLag(int millis) {
    return new Faults(delayMillis, refuse, dropAnswers, cut, millis, exit);
  }

  /**
   * Sets the delay of each request.
   *
   * @param millis The time in milliseconds by which each request is delayed.
   * @return The changed faults.
   */
  public Faults withDelay(int millis) {
    return new Faults(millis, refuse, dropAnswers, cut, lagMillis, exit);
  }

  /**
   * Sets the sources that are cut off.
   *
   * @param prefixes The prefixes of the source addresses that are cut off.
   * @return The changed faults.
   */
  public Faults withCut(List<String> prefixes) {
    return new Faults(delayMillis, refuse, dropAnswers, prefixes, lagMillis, exit);
  }

  /**
   * Sets whether requests are refused.
   *
   * @param value {@code true} if each request is refused without an effect.
   * @return The changed faults.
   */
  public Faults withRefuse(boolean value) {
    return new Faults(delayMillis, value, dropAnswers, cut, lagMillis, exit);
  }

  /**
   * Sets the number of effects whose answers are lost.
   *
   * @param count The number of effects whose answers are lost.
   * @return The changed faults.
   */
  public Faults withDropAnswers(int count) {
    return new Faults(delayMillis, refuse, count, cut, lagMillis, exit);
  }

  /**
   * Checks if a source is cut off.
   *
   * @param source The source address.
   * @return {@code true} if the source is cut off.
   */
  public boolean isCut(String source) {
    return cut.stream().anyMatch(source::startsWith);
  }
}
