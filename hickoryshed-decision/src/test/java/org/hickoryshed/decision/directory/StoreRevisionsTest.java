package org.hickoryshed.decision.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of {@link StoreRevisions}. */
class StoreRevisionsTest {

  private static final long HIGHEST_REVISION = (1L << 44) - 1;

  @Test
  void leavesRevisionsOfTheFirstEraAsTheyAre() {
    assertThat(StoreRevisions.qualify(1, 4711)).isEqualTo(4711);
  }

  @Test
  void ordersByEraFirst() {
    assertThat(StoreRevisions.qualify(2, 0))
        .isGreaterThan(StoreRevisions.qualify(1, HIGHEST_REVISION));
    assertThat(StoreRevisions.qualify(StoreRevisions.MAX_ERA, 2))
        .isGreaterThan(StoreRevisions.qualify(StoreRevisions.MAX_ERA, 1));
  }

  @Test
  void keepsBothParts() {
    long qualified = StoreRevisions.qualify(StoreRevisions.MAX_ERA, HIGHEST_REVISION);
    assertThat(StoreRevisions.eraOf(qualified)).isEqualTo(StoreRevisions.MAX_ERA);
    assertThat(StoreRevisions.plain(qualified)).isEqualTo(HIGHEST_REVISION);
  }
}
