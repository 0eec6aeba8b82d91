package org.hickoryshed.decision.takeover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of what is known of the lead. */
class LeadClaimsTest {

  private final LeadClaims claims = new LeadClaims();

  @Test
  void putsTheLastClaimFirst() {
    claims.claimed("old");
    claims.claimed("new");

    assertThat(claims.byRecency()).containsExactly("new", "old");
  }

  @Test
  void believesProofBeforeOlderClaim() {
    claims.claimed("old");

    assertThat(claims.proven("new", 2)).isTrue();
    assertThat(claims.byRecency().get(0)).isEqualTo("new");
  }

  @Test
  void ignoresProofOfOlderTerm() {
    claims.proven("new", 3);

    assertThat(claims.proven("old", 2)).isFalse();
    assertThat(claims.byRecency()).containsExactly("new");
  }

  @Test
  void tellsNoNewsTwice() {
    claims.claimed("a");

    assertThat(claims.proven("a", 2)).isFalse();
    assertThat(claims.proven("a", 2)).isFalse();
    assertThat(claims.provenTerm()).isEqualTo(2);
  }

  @Test
  void tellsProofFromClaim() {
    claims.proven("a", 2);
    assertThat(claims.isProven()).isTrue();

    claims.claimed("b");
    assertThat(claims.isProven()).isFalse();
  }

  @Test
  void forgetsMemberThatWithdrew() {
    claims.claimed("a");
    claims.withdrawn("a");

    assertThat(claims.byRecency()).isEmpty();
  }
}
