package org.hickoryshed.decision.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of the shares of the connections of a member. */
class ConnectionShareTest {

  private static final int FEW_PROXIES = 7;
  private static final int MANY_PROXIES = 72;
  private static final int SMALL_LIMIT = 16;
  private static final int LARGE_LIMIT = 46;
  private static final int DOMAINS = 6;

  @Test
  void givesEachProxyItsOwnWhereThereIsRoom() {
    assertThat(ConnectionShare.isPooled(SMALL_LIMIT, FEW_PROXIES)).isFalse();
    assertThat(ConnectionShare.ofEach(SMALL_LIMIT, FEW_PROXIES, 1))
        .isEqualTo(new ConnectionShare(1, 2, 4));
  }

  @Test
  void poolsWhereProxiesOutnumberConnections() {
    assertThat(ConnectionShare.isPooled(LARGE_LIMIT, MANY_PROXIES)).isTrue();
  }

  @Test
  void keepsFewerConnectionsThanTheMemberTakes() {
    int kept = DOMAINS * ConnectionShare.ofHolder(LARGE_LIMIT, DOMAINS).kept();
    assertThat(kept).isPositive().isLessThanOrEqualTo(LARGE_LIMIT);
  }

  @Test
  void leavesRoomForEveryProxyWhileConnectionsAreRefused() {
    int fair = ConnectionShare.ofEach(SMALL_LIMIT, FEW_PROXIES, 1).fair();
    assertThat(FEW_PROXIES * fair).isPositive().isLessThanOrEqualTo(SMALL_LIMIT);
    int fairOfHolder = ConnectionShare.ofHolder(LARGE_LIMIT, DOMAINS).fair();
    assertThat(DOMAINS * fairOfHolder).isPositive().isLessThanOrEqualTo(LARGE_LIMIT);
  }

  @Test
  void keepsNothingOpenBesideTheHolder() {
    assertThat(ConnectionShare.ofOthers().kept()).isZero();
    assertThat(ConnectionShare.ofOthers().most()).isPositive();
  }

  @Test
  void letsOneProxyAloneUseTheWholeLimit() {
    assertThat(ConnectionShare.ofEach(SMALL_LIMIT, 1, 1).most()).isEqualTo(SMALL_LIMIT);
  }
}
