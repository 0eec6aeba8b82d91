package org.hickoryshed.proxy.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;
import org.junit.jupiter.api.Test;

/** Tests of {@link WriteRetryState}. */
class WriteRetryStateTest {

  private static final Outcome UNKNOWN = new Outcome.Unknown(Reason.ANSWER_LOST, "");
  private static final Outcome REFUSED = new Outcome.NotRun(Reason.OVERLOADED, "");
  private static final Outcome NOT_PRIMARY = new Outcome.NotRun(Reason.NOT_PRIMARY, "");
  private static final Outcome CANCELLED = new Outcome.NotRun(Reason.CANCELLED, "");
  private static final Outcome DONE =
      new Outcome.Done(Json.mapper().createArrayNode(), LogPosition.ORIGIN, "a-1", false);

  @Test
  void sendsRequestWithoutKeyOnceIfItMayHaveRun() {
    assertThat(new WriteRetryState(false).recordAttempt(UNKNOWN)).isFalse();
  }

  @Test
  void triesRequestWithoutKeyAgainIfItDidNotRun() {
    assertThat(new WriteRetryState(false).recordAttempt(NOT_PRIMARY)).isTrue();
  }

  @Test
  void staysUnknownIfLaterAttemptIsRefused() {
    WriteRetryState state = new WriteRetryState(true);
    state.recordAttempt(UNKNOWN);

    assertThat(state.recordAttempt(REFUSED)).isTrue();
    assertThat(state.outcome()).isEqualTo(UNKNOWN);
  }

  @Test
  void resolvesUnknownByRecordedOutcome() {
    WriteRetryState state = new WriteRetryState(true);
    state.recordAttempt(UNKNOWN);

    assertThat(state.recordAttempt(DONE)).isFalse();
    assertThat(state.outcome()).isEqualTo(DONE);
  }

  @Test
  void resolvesUnknownByCancelledKey() {
    WriteRetryState state = new WriteRetryState(true);
    state.recordAttempt(UNKNOWN);

    assertThat(state.recordAttempt(CANCELLED)).isFalse();
    assertThat(state.outcome()).isEqualTo(CANCELLED);
  }

  @Test
  void returnsRefusalOfOverloadAtOnce() {
    assertThat(new WriteRetryState(true).recordAttempt(REFUSED)).isFalse();
  }
}
