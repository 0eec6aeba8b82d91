package org.hickoryshed.decision.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.topology.DatabaseView;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;
import org.junit.jupiter.api.Test;

/** Tests of {@link MemberSelector}. */
class MemberSelectorTest {

  private static final Member NEAR = new Member("a-1", "", "gyeonggi-1", "gyeonggi");
  private static final Member SAME_REGION = new Member("a-2", "", "gyeonggi-2", "gyeonggi");
  private static final Member FAR = new Member("a-3", "", "daegu-1", "daegu");
  private static final Database DATABASE = new Database("a", List.of(FAR, SAME_REGION, NEAR));
  private static final MemberSelector SELECTOR = new MemberSelector("gyeonggi-1", "gyeonggi");

  @Test
  void triesReplicasFromNearToFarThenPrimary() {
    assertThat(SELECTOR.forRead(DATABASE, primary(NEAR), Set.of(), false))
        .containsExactly(SAME_REGION, FAR, NEAR);
  }

  @Test
  void skipsLeavingReplica() {
    assertThat(SELECTOR.forRead(DATABASE, primary(FAR), Set.of(NEAR.name()), false))
        .containsExactly(SAME_REGION, FAR);
  }

  @Test
  void keepsLeavingPrimaryUntilItsRoleIsHandedOver() {
    assertThat(SELECTOR.forRead(DATABASE, primary(NEAR), Set.of(NEAR.name()), true))
        .containsExactly(NEAR);
  }

  private static DatabaseView primary(Member member) {
    String name = member.name();
    return DatabaseView.EMPTY.with(
        new MemberStatus(name, Role.PRIMARY, 1, 1, 1, 1, Optional.of(name)));
  }
}
