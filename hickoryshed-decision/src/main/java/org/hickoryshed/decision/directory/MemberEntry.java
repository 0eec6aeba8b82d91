package org.hickoryshed.decision.directory;

/**
 * A registered member of a pool.
 *
 * @param id The identifier of the member.
 * @param pool The name of the pool.
 * @param address The address as IP number and port.
 * @param domain The failure domain.
 * @param slots The number of statements that the member runs at once.
 * @param draining True if the member leaves.
 * @param primary True if the member holds itself to be the primary.
 * @param bornMillis The start of the member in milliseconds since the epoch.
 * @param revision The revision of this entry, which rises with each change.
 */
public record MemberEntry(
    String id,
    String pool,
    String address,
    String domain,
    int slots,
    boolean draining,
    boolean primary,
    long bornMillis,
    long revision) {

  /**
   * Returns the IP number of the address.
   *
   * @return The IP number.
   */
  public String host() {
    return address.substring(0, address.lastIndexOf(':'));
  }

  /**
   * Returns the port of the address.
   *
   * @return The port.
   */
  public int port() {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  /**
   * Checks if another entry describes the same run of the same member.
   *
   * @param other The other entry.
   * @return {@code true} if connections to the other member reach this one.
   */
  public boolean isSameIncarnation(MemberEntry other) {
    return id.equals(other.id)
        && address.equals(other.address)
        && pool.equals(other.pool)
        && bornMillis == other.bornMillis;
  }
}
