package org.hickoryshed.session.directory;

import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberChanges;
import org.hickoryshed.decision.directory.MemberList;

/** Receives the desired state and the members; any thread may call it. */
public interface DirectoryListener {

  /**
   * Handles a desired state. Its version may be older than the known one.
   *
   * @param desired The desired state.
   */
  void onDesiredState(DesiredState desired);

  /**
   * Handles a complete list of members. It may be older than the known one.
   *
   * @param members All members.
   */
  void onMembers(MemberList members);

  /**
   * Handles added, changed and removed entries of members.
   *
   * @param changes The changes.
   */
  void onMemberChanges(MemberChanges changes);
}
