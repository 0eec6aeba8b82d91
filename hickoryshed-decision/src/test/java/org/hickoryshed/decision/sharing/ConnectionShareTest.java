package org.hickoryshed.decision.sharing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of {@link ConnectionShare}. */
class ConnectionShareTest {

  private static final int FEW_PROXIES = 7;
  private static final int MANY_PROXIES = 72;
  private static final int SMALL_LIMIT = 16;
  private static final int LARGE_LIMIT = 46;
  private static final int DOMAINS = 6;

  @Test
  void letsEachProxyOpenItsOwnIfLimitAllows() {
    assertThat(ConnectionShare.isHeldPerDomain(SMALL_LIMIT, FEW_PROXIES)).isFalse();
    assertThat(ConnectionShare.perProxy(SMALL_LIMIT, FEW_PROXIES, 1))
        .isEqualTo(new ConnectionShare(1, 2, 4));
  }

  @Test
  void usesHoldersIfProxiesOutnumberConnections() {
    assertThat(ConnectionShare.isHeldPerDomain(LARGE_LIMIT, MANY_PROXIES)).isTrue();
  }

  @Test
  void keepsIdleConnectionsOfHoldersWithinLimit() {
    int keptIdle = DOMAINS * ConnectionShare.forHolder(LARGE_LIMIT, DOMAINS).keptIdle();
    assertThat(keptIdle).isPositive().isLessThanOrEqualTo(LARGE_LIMIT);
  }

  @Test
  void keepsFairSharesWithinLimit() {
    int share = ConnectionShare.perProxy(SMALL_LIMIT, FEW_PROXIES, 1).maxWhileRefused();
    assertThat(FEW_PROXIES * share).isPositive().isLessThanOrEqualTo(SMALL_LIMIT);
    int shareOfHolder = ConnectionShare.forHolder(LARGE_LIMIT, DOMAINS).maxWhileRefused();
    assertThat(DOMAINS * shareOfHolder).isPositive().isLessThanOrEqualTo(LARGE_LIMIT);
  }

  @Test
  void keepsNoIdleConnectionsOfNonHolders() {
    assertThat(ConnectionShare.forNonHolder().keptIdle()).isZero();
    assertThat(ConnectionShare.forNonHolder().max()).isPositive();
  }

  @Test
  void letsSingleProxyUseWholeLimit() {
    assertThat(ConnectionShare.perProxy(SMALL_LIMIT, 1, 1).max()).isEqualTo(SMALL_LIMIT);
  }
}
