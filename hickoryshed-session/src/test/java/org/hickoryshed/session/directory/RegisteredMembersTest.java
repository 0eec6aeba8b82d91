package org.hickoryshed.session.directory;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.hickoryshed.decision.directory.MemberChanges;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.directory.MemberList;
import org.hickoryshed.decision.directory.RevisionOrder;
import org.hickoryshed.session.net.EventLoop;
import org.junit.jupiter.api.Test;

/** Tests of lists of members that were read in pages while members changed. */
class RegisteredMembersTest {

  private final RegisteredMembers members =
      new RegisteredMembers(new EventLoop(), new IgnoringListener());

  /** Guards against a change that neither the list nor what is watched after it shows. */
  @Test
  void appliesChangesThatAreOlderThanTheLatestEntryOfTheList() {
    replace(10, entry("a", 7), entry("z", 14));
    assertThat(members.version()).isEqualTo(10);

    members.apply(new MemberChanges(12, List.of(entry("new", 12)), Set.of()));
    members.apply(new MemberChanges(13, List.of(entry("a", 13)), Set.of()));

    assertThat(members.list().entries())
        .containsExactlyInAnyOrder(entry("a", 13), entry("z", 14), entry("new", 12));
  }

  @Test
  void endsNoMemberThatIsLaterThanTheList() {
    replace(10, entry("a", 7), entry("z", 16));

    replace(14, entry("a", 7));

    assertThat(members.isRegistered("z")).isTrue();
    replace(16, entry("a", 7));
    assertThat(members.isRegistered("z")).isFalse();
  }

  /** Guards against the use of a leaving member after the store was restored. */
  @Test
  void keepsMemberLeavingInRestoredCopyUntilItWritesAgain() {
    replace(10, entry("a", 7).asDraining());

    replace(RevisionOrder.qualify(2, 8), entry("a", RevisionOrder.qualify(2, 5)));
    assertThat(members.list().entries().get(0).draining()).isTrue();

    long later = RevisionOrder.qualify(2, 9);
    members.apply(new MemberChanges(later, List.of(entry("a", later)), Set.of()));
    assertThat(members.list().entries().get(0).draining()).isFalse();
  }

  private void replace(long revision, MemberEntry... entries) {
    members.replace(new MemberList(revision, OptionalLong.empty(), List.of(entries)));
  }

  private static MemberEntry entry(String id, long revision) {
    return new MemberEntry(id, "orders", "127.0.0.1:9", "a", 2, false, false, 1, revision);
  }

  /** Does nothing. */
  private static final class IgnoringListener implements RegisteredMembers.Listener {

    @Override
    public void onEntry(MemberEntry entry) {
      // Not looked at.
    }

    @Override
    public void onRemoved(MemberEntry entry) {
      // Not looked at.
    }

    @Override
    public void onVersion() {
      // Not looked at.
    }
  }
}
