package org.hickoryshed.decision.directory;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests of {@link RevisionOrder}. */
class RevisionOrderTest {

  private static final long HIGHEST_REVISION = (1L << 44) - 1;

  @Test
  void leavesRevisionsOfTheFirstEraAsTheyAre() {
    assertThat(RevisionOrder.qualify(1, 4711)).isEqualTo(4711);
  }

  @Test
  void ordersByEraFirst() {
    assertThat(RevisionOrder.qualify(2, 0))
        .isGreaterThan(RevisionOrder.qualify(1, HIGHEST_REVISION));
    assertThat(RevisionOrder.qualify(RevisionOrder.MAX_ERA, 2))
        .isGreaterThan(RevisionOrder.qualify(RevisionOrder.MAX_ERA, 1));
  }

  @Test
  void keepsBothParts() {
    long qualified = RevisionOrder.qualify(RevisionOrder.MAX_ERA, HIGHEST_REVISION);
    assertThat(RevisionOrder.eraOf(qualified)).isEqualTo(RevisionOrder.MAX_ERA);
    assertThat(RevisionOrder.plain(qualified)).isEqualTo(HIGHEST_REVISION);
  }
}
