package org.hickoryshed.decision.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of {@link PrimaryClaims}. */
class PrimaryClaimsTest {

  private final PrimaryClaims claims = new PrimaryClaims();

  @Test
  void ordersLatestClaimFirst() {
    claims.recordClaim("old");
    claims.recordClaim("new");

    assertThat(claims.byRecency()).containsExactly("new", "old");
  }

  @Test
  void prefersProofToOlderClaim() {
    claims.recordClaim("old");

    assertThat(claims.recordProof("new", 2)).isTrue();
    assertThat(claims.byRecency().get(0)).isEqualTo("new");
  }

  @Test
  void ignoresProofOfOlderTerm() {
    claims.recordProof("new", 3);

    assertThat(claims.recordProof("old", 2)).isFalse();
    assertThat(claims.byRecency()).containsExactly("new");
  }

  @Test
  void reportsNoChangeForKnownPrimary() {
    claims.recordClaim("a");

    assertThat(claims.recordProof("a", 2)).isFalse();
    assertThat(claims.recordProof("a", 2)).isFalse();
    assertThat(claims.provenTerm()).isEqualTo(2);
  }

  @Test
  void distinguishesProofFromClaim() {
    claims.recordProof("a", 2);
    assertThat(claims.isLatestProven()).isTrue();

    claims.recordClaim("b");
    assertThat(claims.isLatestProven()).isFalse();
  }

  @Test
  void forgetsRemovedClaim() {
    claims.recordClaim("a");
    claims.removeClaim("a");

    assertThat(claims.byRecency()).isEmpty();
  }

  @Test
  void keepsProvenMemberBeforeLaterClaim() {
    claims.recordProof("new", 3);
    claims.recordClaimBehindProof("old");
    assertThat(claims.byRecency()).containsExactly("new", "old");
    assertThat(claims.isLatestProven()).isTrue();
  }

  @Test
  void acceptsLaterClaimOnceProvenMemberIsNoPrimary() {
    claims.recordProof("old", 3);
    claims.removeClaim("old");
    claims.recordClaimBehindProof("new");
    assertThat(claims.byRecency()).containsExactly("new");
  }
}
