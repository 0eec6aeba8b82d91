package org.hickoryshed.decision.directory;

/**
 * The registration of a database member.
 *
 * @param id The identifier of the member.
 * @param pool The name of its pool.
 * @param address Its address as IP address and port.
 * @param domain Its failure domain.
 * @param slots The maximum number of statements that it runs concurrently.
 * @param draining {@code true} if the member is about to leave.
 * @param primary {@code true} if the member considers itself the primary.
 * @param bornMillis The time at which its process started, in milliseconds since the epoch.
 * @param revision The {@linkplain RevisionOrder qualified} revision of this entry, which increases
 *     with each change.
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
   * Returns the host part of the address.
   *
   * @return The IP address.
   */
  public String host() {
    return address.substring(0, address.lastIndexOf(':'));
  }

  /**
   * Returns the port part of the address.
   *
   * @return The port.
   */
  public int port() {
    return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
  }

  /**
   * Checks whether another entry describes the same incarnation of the member, that is, the same
   * run of its process at the same address and in the same pool.
   *
   * @param other The other entry.
   * @return {@code true} if connections that were opened under the other entry remain valid.
   */
  public boolean isSameIncarnation(MemberEntry other) {
    return id.equals(other.id)
        && address.equals(other.address)
        && pool.equals(other.pool)
        && bornMillis == other.bornMillis;
  }

  /** Returns the same entry of a member that is about to leave. */
  public MemberEntry asDraining() {
    return new MemberEntry(id, pool, address, domain, slots, true, primary, bornMillis, revision);
  }

  /**
   * Checks whether this member has taken the place of another one that announced its end: the log
   * of that one was transferred to it.
   *
   * @param leaving The last entry of the other member.
   * @return {@code false} if the other member did not announce its end.
   */
  public boolean isSuccessorOf(MemberEntry leaving) {
    return leaving.draining
        && !id.equals(leaving.id)
        && address.equals(leaving.address)
        && pool.equals(leaving.pool);
  }
}
