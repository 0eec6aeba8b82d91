package org.hickoryshed.decision.promotion;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Which members of a database are said to lead.
 *
 * <p>A claim is what a member registers of itself; a proof is an answer that only a primary gives,
 * with its term. What was learnt last counts most, but a proof counts only if its term is newer
 * than that of every earlier proof.
 */
public final class PrimaryClaims {

  /** The members that are said to lead, the one that was learnt last at the end. */
  private final Set<String> members = new LinkedHashSet<>();

  /** The highest term of a proof. */
  private long provenTerm;

  /** The member that gave this proof. */
  private String provenMember = "";

  /**
   * Notes that a member registered itself as the primary.
   *
   * @param member The identifier of the member.
   */
  public void recordClaim(String member) {
    members.remove(member);
    members.add(member);
  }

  /**
   * Notes that a member registered itself as a replica or is gone.
   *
   * @param member The identifier of the member.
   */
  public void removeClaim(String member) {
    members.remove(member);
  }

  /**
   * Notes that a member proved its lead.
   *
   * @param member The identifier of the member.
   * @param term The term that it leads.
   * @return {@code true} if this is news.
   */
  public boolean recordProof(String member, long term) {
    if (term <= provenTerm) {
      return false;
    }
    provenTerm = term;
    provenMember = member;
    boolean news = members.isEmpty() || !byRecency().get(0).equals(member);
    recordClaim(member);
    return news;
  }

  /**
   * Returns the highest term of a proof.
   *
   * @return The term, zero without a proof.
   */
  public long provenTerm() {
    return provenTerm;
  }

  /**
   * Checks if the member that was learnt last gave the last proof.
   *
   * @return {@code false} if the lead is only claimed.
   */
  public boolean isLatestProven() {
    return byRecency().stream().limit(1).anyMatch(provenMember::equals);
  }

  /**
   * Returns the members that are said to lead.
   *
   * @return The identifiers of the members, the one that was learnt last first.
   */
  public List<String> byRecency() {
    List<String> list = new ArrayList<>(members);
    Collections.reverse(list);
    return list;
  }
}
