package org.hickoryshed.decision.topology;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Tests of {@link DatabaseView}. */
class DatabaseViewTest {

  private static final String OLD = "a-1";
  private static final String NEW = "a-2";
  private static final String THIRD = "a-3";

  @Test
  void ignoresStatusOfLowerTerm() {
    DatabaseView view = DatabaseView.EMPTY.with(primary(NEW, 5)).with(primary(NEW, 4));

    assertThat(view.highestTerm()).isEqualTo(5);
  }

  @Test
  void prefersPrimaryOfHighestTerm() {
    DatabaseView view = DatabaseView.EMPTY.with(primary(OLD, 4)).with(primary(NEW, 5));

    assertThat(view.primary()).map(MemberStatus::member).contains(NEW);
  }

  @Test
  void learnsPrimaryFromReplica() {
    DatabaseView view = DatabaseView.EMPTY.with(primary(OLD, 4)).with(replica(THIRD, 5, NEW));

    assertThat(view.primaryName()).contains(NEW);
  }

  @Test
  void hasNoPrimaryOfHighestTermOnceMemberLeftTermOfPrimary() {
    DatabaseView view = DatabaseView.EMPTY.with(primary(OLD, 4)).with(replica(THIRD, 5, NEW));

    assertThat(view.primaryOfHighestTerm()).isEmpty();
  }

  @Test
  void forgetsMemberThatOthersNameAsPrimary() {
    DatabaseView view =
        DatabaseView.EMPTY.with(primary(OLD, 4)).with(replica(THIRD, 4, OLD)).without(OLD);

    assertThat(view.primaryName()).isEmpty();
  }

  private static MemberStatus primary(String name, long term) {
    return new MemberStatus(name, Role.PRIMARY, term, term, 1, 1, Optional.of(name));
  }

  private static MemberStatus replica(String name, long term, String primary) {
    return new MemberStatus(name, Role.REPLICA, term, term, 1, 1, Optional.of(primary));
  }
}
