package org.hickoryshed.protocol.statement;

import java.util.Optional;

/**
 * The identifier of a transaction, by which any proxy finds the pooler that holds its connection.
 *
 * @param vm The name of the VM of the pooler.
 * @param incarnation The identifier of the run of the pooler, so that no other run takes the
 *     transaction for its own.
 * @param database The name of the database.
 * @param member The name of the member.
 * @param number The number of the transaction, unique in one run of the pooler.
 */
public record TransactionId(
    String vm, String incarnation, String database, String member, long number) {

  private static final String SEPARATOR = "~";
  private static final int PART_COUNT = 5;

  /**
   * Parses the text form, which callers send in paths.
   *
   * @param text The text, possibly malformed.
   * @return The identifier or an empty optional if the text is malformed.
   */
  public static Optional<TransactionId> parse(String text) {
    String[] parts = text.split(SEPARATOR, -1);
    if (parts.length != PART_COUNT) {
      return Optional.empty();
    }
    try {
      long number = Long.parseLong(parts[4]);
      return Optional.of(new TransactionId(parts[0], parts[1], parts[2], parts[3], number));
    } catch (NumberFormatException exception) {
      return Optional.empty();
    }
  }

  /** Returns the five components, separated by tildes. */
  public String text() {
    return String.join(SEPARATOR, vm, incarnation, database, member, String.valueOf(number));
  }
}
