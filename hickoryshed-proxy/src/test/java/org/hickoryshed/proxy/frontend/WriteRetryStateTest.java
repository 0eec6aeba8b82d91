package org.hickoryshed.proxy.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;
import org.junit.jupiter.api.Test;

/** Tests of {@link WriteRetryState}. */
class WriteRetryStateTest {

  private static final Outcome LOST = new Outcome.Unknown(Reason.ANSWER_LOST, "");
  private static final Outcome REFUSED = new Outcome.NotRun(Reason.OVERLOADED, "");
  private static final Outcome NOT_PRIMARY = new Outcome.NotRun(Reason.NOT_PRIMARY, "");
  private static final Outcome CANCELLED = new Outcome.NotRun(Reason.CANCELLED, "");
  private static final Outcome DONE =
      new Outcome.Done(Json.mapper().createArrayNode(), LogPosition.ORIGIN, "a-1", false);

  @Test
  void sendsRequestWithoutKeyOnceIfItMayHaveRun() {
    assertThat(new WriteRetryState(false).recordAttempt(LOST)).isFalse();
  }

  @Test
  void triesRequestWithoutKeyAgainIfItDidNotRun() {
    assertThat(new WriteRetryState(false).recordAttempt(NOT_PRIMARY)).isTrue();
  }

  @Test
  void staysUnknownIfLaterAttemptIsRefused() {
    WriteRetryState attempts = new WriteRetryState(true);
    attempts.recordAttempt(LOST);

    assertThat(attempts.recordAttempt(REFUSED)).isTrue();
    assertThat(attempts.outcome()).isEqualTo(LOST);
  }

  @Test
  void resolvesUnknownByRecordedOutcome() {
    WriteRetryState attempts = new WriteRetryState(true);
    attempts.recordAttempt(LOST);

    assertThat(attempts.recordAttempt(DONE)).isFalse();
    assertThat(attempts.outcome()).isEqualTo(DONE);
  }

  @Test
  void resolvesUnknownByCancelledKey() {
    WriteRetryState attempts = new WriteRetryState(true);
    attempts.recordAttempt(LOST);

    assertThat(attempts.recordAttempt(CANCELLED)).isFalse();
    assertThat(attempts.outcome()).isEqualTo(CANCELLED);
  }

  @Test
  void returnsRefusalOfOverloadAtOnce() {
    assertThat(new WriteRetryState(true).recordAttempt(REFUSED)).isFalse();
  }
}
