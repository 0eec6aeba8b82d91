package org.hickoryshed.decision.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of {@link PrimaryFailureVote}. */
class PrimaryFailureVoteTest {

  private static final int VOTERS = 5;

  private final PrimaryFailureVote vote = new PrimaryFailureVote(VOTERS);

  @Test
  void staysOpenWhileResponsesAreAwaited() {
    vote.recordResponse("a", false);
    vote.recordResponse("b", false);
    vote.recordResponse("c", false);

    assertThat(vote.verdict(false)).isEqualTo(PrimaryFailureVote.Verdict.OPEN);
  }

  @Test
  void keepsPrimaryThatOneProxyReaches() {
    vote.recordResponse("a", false);
    vote.recordResponse("b", false);
    vote.recordResponse("c", false);
    vote.recordResponse("d", false);
    vote.recordResponse("e", true);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.ALIVE);
  }

  @Test
  void decidesFailureOnceAllResponded() {
    for (String proxy : new String[] {"a", "b", "c", "d", "e"}) {
      vote.recordResponse(proxy, false);
    }

    assertThat(vote.verdict(false)).isEqualTo(PrimaryFailureVote.Verdict.FAILED);
  }

  @Test
  void decidesFailureWithMoreThanHalfOfTheResponsesAtTheEnd() {
    vote.recordResponse("a", false);
    vote.recordResponse("b", false);
    vote.recordResponse("c", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.FAILED);
  }

  @Test
  void staysOpenWithHalfOfTheResponsesAtTheEnd() {
    PrimaryFailureVote even = new PrimaryFailureVote(4);
    even.recordResponse("a", false);
    even.recordResponse("b", false);

    assertThat(even.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.OPEN);
  }

  @Test
  void staysOpenWithLessThanHalfOfTheResponsesAtTheEnd() {
    vote.recordResponse("a", false);
    vote.recordResponse("b", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.OPEN);
  }

  @Test
  void countsEachProxyOnce() {
    vote.recordResponse("a", false);
    vote.recordResponse("a", false);
    vote.recordResponse("a", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.OPEN);
  }
}
