package org.hickoryshed.decision.takeover;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of the vote on a primary. */
class PrimaryVoteTest {

  private static final int ASKED = 5;

  private final PrimaryVote vote = new PrimaryVote(ASKED);

  @Test
  void staysOpenWhileAnswersAreAwaited() {
    vote.answer("a", false);
    vote.answer("b", false);
    vote.answer("c", false);

    assertThat(vote.verdict(false)).isEqualTo(PrimaryVote.Verdict.OPEN);
  }

  @Test
  void keepsPrimaryThatOneProxyReaches() {
    vote.answer("a", false);
    vote.answer("b", false);
    vote.answer("c", false);
    vote.answer("d", false);
    vote.answer("e", true);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryVote.Verdict.ALIVE);
  }

  @Test
  void findsFailureOnceAllAnswered() {
    for (String proxy : new String[] {"a", "b", "c", "d", "e"}) {
      vote.answer(proxy, false);
    }

    assertThat(vote.verdict(false)).isEqualTo(PrimaryVote.Verdict.FAILED);
  }

  @Test
  void findsFailureWithMoreThanHalfOfTheAnswersAtTheEnd() {
    vote.answer("a", false);
    vote.answer("b", false);
    vote.answer("c", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryVote.Verdict.FAILED);
  }

  @Test
  void decidesNothingInSmallerOrEqualPart() {
    PrimaryVote even = new PrimaryVote(4);
    even.answer("a", false);
    even.answer("b", false);

    assertThat(even.verdict(true)).isEqualTo(PrimaryVote.Verdict.OPEN);
  }

  @Test
  void decidesNothingWithFewAnswers() {
    vote.answer("a", false);
    vote.answer("b", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryVote.Verdict.OPEN);
  }

  @Test
  void countsEachProxyOnce() {
    vote.answer("a", false);
    vote.answer("a", false);
    vote.answer("a", false);

    assertThat(vote.verdict(true)).isEqualTo(PrimaryVote.Verdict.OPEN);
  }
}
