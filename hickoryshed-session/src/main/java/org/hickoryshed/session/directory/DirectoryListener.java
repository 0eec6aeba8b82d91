package org.hickoryshed.session.directory;

import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberChanges;
import org.hickoryshed.decision.directory.MemberList;

/** A listener to the directory of members and to the desired state; any thread may call it. */
public interface DirectoryListener {

  /**
   * Handles a version of the desired state, which may be an older one than is known.
   *
   * @param desired The desired state.
   */
  void onDesiredState(DesiredState desired);

  /**
   * Handles the complete list of members, which may be an older one than is known.
   *
   * @param members All members.
   */
  void onMembers(MemberList members);

  /**
   * Handles new, changed and ended entries.
   *
   * @param changes The changes.
   */
  void onMemberChanges(MemberChanges changes);
}
