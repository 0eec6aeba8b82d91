package org.hickoryshed.decision.promotion;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Tracks which members of a database are said to be the primary.
 *
 * <p>A claim is what a member registers about itself. A proof is a response that only a primary can
 * give, together with its term. The latest information takes precedence, but a proof counts only if
 * its term is higher than that of all earlier proofs.
 *
 * <p>Not thread-safe.
 */
public final class PrimaryClaims {

  /** The members that are said to be the primary, the latest one at the end. */
  private final Set<String> members = new LinkedHashSet<>();

  /** The highest proven term, zero without a proof. */
  private long provenTerm;

  /** The member that proved this term, empty without a proof. */
  private String provenMember = "";

  /**
   * Records that a member registered itself as the primary.
   *
   * @param member The identifier of the member.
   */
  public void recordClaim(String member) {
    members.remove(member);
    members.add(member);
  }

  /**
   * Records that a member registered itself as the primary where a replaced primary may still do
   * so: the member that gave the latest proof keeps precedence as long as it is said to be the
   * primary.
   *
   * @param member The identifier of the member.
   */
  public void recordClaimBehindProof(String member) {
    recordClaim(member);
    if (members.contains(provenMember)) {
      recordClaim(provenMember);
    }
  }

  /**
   * Records that a member registered itself as a replica or is gone.
   *
   * @param member The identifier of the member.
   */
  public void removeClaim(String member) {
    members.remove(member);
  }

  /**
   * Records that a member proved to be the primary of a term.
   *
   * @param member The identifier of the member.
   * @param term The term; ignored unless it is higher than that of every earlier proof.
   * @return {@code true} if the proof changes which member is the latest one.
   */
  public boolean recordProof(String member, long term) {
    if (term <= provenTerm) {
      return false;
    }
    provenTerm = term;
    provenMember = member;
    boolean changed = members.isEmpty() || !byRecency().get(0).equals(member);
    recordClaim(member);
    return changed;
  }

  /**
   * Returns the highest proven term.
   *
   * @return The term, zero without a proof.
   */
  public long provenTerm() {
    return provenTerm;
  }

  /**
   * Checks whether the latest member is the one that gave the latest proof.
   *
   * @return {@code false} if the latest member only claims to be the primary, or if there is none.
   */
  public boolean isLatestProven() {
    return byRecency().stream().limit(1).anyMatch(provenMember::equals);
  }

  /**
   * Returns the members that are said to be the primary.
   *
   * @return The identifiers of the members, the latest one first.
   */
  public List<String> byRecency() {
    List<String> list = new ArrayList<>(members);
    Collections.reverse(list);
    return list;
  }
}
