package org.hickoryshed.decision.promotion;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of {@link PrimaryFailureVote}. */
class PrimaryFailureVoteTest {

  private static final int ASKED = 5;

  private final PrimaryFailureVote vote = new PrimaryFailureVote(ASKED);

  @Test
  void staysOpenWhileAnswersAreAwaited() {
    vote.recordAnswer("a", false);
    vote.recordAnswer("b", false);
    vote.recordAnswer("c", false);

    assertThat(vote.verdict(false)).isEqualTo(PrimaryFailureVote.Verdict.OPEN);
  }

  @Test
  void keepsPrimaryThatOneProxyReaches() {
    vote.recordAnswer("a", false);
    vote.recordAnswer("b", false);
    vote.recordAnswer("c", false);
    vote.recordAnswer("d", false);
    vote.recordAnswer("e", true);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.ALIVE);
  }

  @Test
  void decidesFailureOnceAllAnswered() {
    for (String proxy : new String[] {"a", "b", "c", "d", "e"}) {
      vote.recordAnswer(proxy, false);
    }

    assertThat(vote.verdict(false)).isEqualTo(PrimaryFailureVote.Verdict.FAILED);
  }

  @Test
  void decidesFailureWithMoreThanHalfOfTheAnswersAtTheEnd() {
    vote.recordAnswer("a", false);
    vote.recordAnswer("b", false);
    vote.recordAnswer("c", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.FAILED);
  }

  @Test
  void staysOpenWithHalfOfTheAnswersAtTheEnd() {
    PrimaryFailureVote even = new PrimaryFailureVote(4);
    even.recordAnswer("a", false);
    even.recordAnswer("b", false);

    assertThat(even.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.OPEN);
  }

  @Test
  void staysOpenWithLessThanHalfOfTheAnswersAtTheEnd() {
    vote.recordAnswer("a", false);
    vote.recordAnswer("b", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.OPEN);
  }

  @Test
  void countsEachProxyOnce() {
    vote.recordAnswer("a", false);
    vote.recordAnswer("a", false);
    vote.recordAnswer("a", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryFailureVote.Verdict.OPEN);
  }
}
