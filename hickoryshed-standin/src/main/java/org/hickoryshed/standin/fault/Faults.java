package org.hickoryshed.standin.fault;

import java.util.List;

/**
 * The faults that are injected into a stand-in. Received as JSON on the path {@code /v1/faults}.
 *
 * @param delayMillis The additional delay of each request in milliseconds.
 * @param refuse {@code true} to refuse each request before it has an effect.
 * @param dropAnswers The number of further requests that take effect but whose response is dropped.
 * @param cut The prefixes of the source addresses whose requests get no response, as if a network
 *     partition separated them; {@code null} is read as none.
 * @param lagMillis The replication lag in milliseconds with which a replica applies entries.
 * @param exit {@code true} to halt the process at once.
 */
public record Faults(
    int delayMillis,
    boolean refuse,
    int dropAnswers,
    List<String> cut,
    int lagMillis,
    boolean exit) {

  /** No faults; the initial state of each stand-in. */
  public static final Faults NONE = new Faults(0, false, 0, List.of(), 0, false);

  /** Copies the list of prefixes. */
  public Faults {
    cut = cut == null ? List.of() : List.copyOf(cut);
  }

  /**
   * Returns a copy with another replication lag.
   *
   * @param millis The replication lag in milliseconds.
   * @return The changed copy.
   */
  public Faults withLag(int millis) {
    return new Faults(delayMillis, refuse, dropAnswers, cut, millis, exit);
  }

  /**
   * Returns a copy with another delay.
   *
   * @param millis The additional delay of each request in milliseconds.
   * @return The changed copy.
   */
  public Faults withDelay(int millis) {
    return new Faults(millis, refuse, dropAnswers, cut, lagMillis, exit);
  }

  /**
   * Returns a copy with other partitioned sources.
   *
   * @param prefixes The prefixes of the source addresses whose requests get no response.
   * @return The changed copy.
   */
  public Faults withCut(List<String> prefixes) {
    return new Faults(delayMillis, refuse, dropAnswers, prefixes, lagMillis, exit);
  }

  /**
   * Returns a copy that refuses requests or not.
   *
   * @param value {@code true} to refuse each request before it has an effect.
   * @return The changed copy.
   */
  public Faults withRefuse(boolean value) {
    return new Faults(delayMillis, value, dropAnswers, cut, lagMillis, exit);
  }

  /**
   * Returns a copy with another number of responses to drop.
   *
   * @param count The number of further requests that take effect but whose response is dropped.
   * @return The changed copy.
   */
  public Faults withDropAnswers(int count) {
    return new Faults(delayMillis, refuse, count, cut, lagMillis, exit);
  }

  /**
   * Returns whether requests from a source get no response.
   *
   * @param source The source address.
   * @return {@code true} if a prefix in {@code cut} matches.
   */
  public boolean isCut(String source) {
    return cut.stream().anyMatch(source::startsWith);
  }
}
