package org.hickoryshed.session.directory;

import java.util.List;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberEntry;

/** A listener to the directory of members and to the desired state; any thread may call it. */
public interface DirectoryListener {

  /**
   * Handles a version of the desired state, which may be an older one than is known.
   *
   * @param desired The desired state.
   */
  void onDesiredState(DesiredState desired);

  /**
   * Handles the complete list of members.
   *
   * @param entries The entries of all members.
   */
  void onMembers(List<MemberEntry> entries);

  /**
   * Handles a new or changed entry.
   *
   * @param entry The entry.
   */
  void onMember(MemberEntry entry);

  /**
   * Handles the end of an entry.
   *
   * @param id The identifier of the member.
   */
  void onMemberRemoved(String id);
}
