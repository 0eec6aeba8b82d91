package org.hickoryshed.protocol.statement;

import java.util.Optional;

/**
 * The identifier of a transaction, which names the pooler that holds its connection.
 *
 * @param vm The name of the VM of the pooler.
 * @param incarnation The run of the pooler, so that no other run takes the transaction for its own.
 * @param database The name of the database.
 * @param member The name of the member.
 * @param number The number of the transaction at the pooler.
 */
public record TransactionId(
    String vm, String incarnation, String database, String member, long number) {

  /** The separator of the parts of the text form. */
  private static final String SEPARATOR = "~";

  /** The number of parts of the text form. */
  private static final int PARTS = 5;

  /**
   * Parses the text form.
   *
   * @param text The text form.
   * @return The identifier or an empty optional if the text is malformed.
   */
  public static Optional<TransactionId> parse(String text) {
    String[] parts = text.split(SEPARATOR, -1);
    if (parts.length != PARTS) {
      return Optional.empty();
    }
    try {
      long number = Long.parseLong(parts[4]);
      return Optional.of(new TransactionId(parts[0], parts[1], parts[2], parts[3], number));
    } catch (NumberFormatException exception) {
      return Optional.empty();
    }
  }

  /**
   * Returns the text form.
   *
   * @return The text form.
   */
  public String text() {
    return String.join(SEPARATOR, vm, incarnation, database, member, String.valueOf(number));
  }
}
