package org.hickoryshed.session.directory;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.hickoryshed.decision.directory.MemberChanges;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.directory.MemberList;
import org.hickoryshed.decision.directory.RevisionOrder;
import org.hickoryshed.session.net.EventLoop;

/**
 * The entries of the members that this process knows, and the version that they are of.
 *
 * <p>Updates come from several sources in any order; one that another source has overtaken changes
 * nothing. All methods are called on the event loop.
 */
public final class RegisteredMembers {

  /**
   * The time for which a member stays in use after its entry has ended, in milliseconds. A member
   * whose entry is back within this time is kept.
   */
  private static final long REMOVAL_DELAY_MILLIS = 2500;

  private final EventLoop loop;

  private final Listener listener;

  /** The entries by the identifiers of their members, including {@link #pendingRemovals}. */
  private final Map<String, MemberEntry> entries = new HashMap<>();

  /** The identifiers of the members whose entries ended less than the removal delay ago. */
  private final Set<String> pendingRemovals = new HashSet<>();

  /** The revision of the store that shows the last known change. */
  private long version;

  /**
   * Creates a registry without members.
   *
   * @param loop The event loop, which delays removals.
   * @param listener Is told of each change.
   */
  public RegisteredMembers(EventLoop loop, Listener listener) {
    this.loop = loop;
    this.listener = listener;
  }

  /**
   * Returns the version of the members that is known here.
   *
   * @return The revision of the store that shows the last known change, zero if none is known.
   */
  public long version() {
    return version;
  }

  /**
   * Returns the members that are registered, as far as this process knows.
   *
   * @return A copy of the list, without the members whose removal is pending.
   */
  public MemberList list() {
    return new MemberList(
        version,
        OptionalLong.of(version),
        entries.values().stream().filter(entry -> isRegistered(entry.id())).toList());
  }

  /**
   * Checks if the removal of a member is not pending.
   *
   * @param id The identifier of the member.
   */
  public boolean isRegistered(String id) {
    return !pendingRemovals.contains(id);
  }

  /**
   * Replaces all members by those of a complete list, unless a later version is known. A member
   * whose entry is later than the list stays, even if it is not listed.
   */
  public void replace(MemberList update) {
    if (update.revision() < version) {
      return;
    }
    Set<String> listed = update.entries().stream().map(MemberEntry::id).collect(Collectors.toSet());
    update.entries().forEach(this::put);
    Set<String> ended =
        entries.values().stream()
            .filter(entry -> entry.revision() <= update.revision())
            .map(MemberEntry::id)
            .filter(id -> !listed.contains(id))
            .collect(Collectors.toSet());
    ended.forEach(this::scheduleRemoval);
    long latest = ended.isEmpty() ? update.latestCompleteRevision() : update.revision();
    advanceVersion(update.lastChangeRevision().orElse(latest));
  }

  /**
   * Applies changes, except those that another source has overtaken: an unknown member whose entry
   * is not newer than the known version has left since, and a member whose entry is newer than a
   * removal has come back.
   */
  public void apply(MemberChanges update) {
    update.changed().stream()
        .filter(entry -> entries.containsKey(entry.id()) || entry.revision() > version)
        .forEach(this::put);
    update.removed().stream()
        .filter(id -> !entries.containsKey(id) || entries.get(id).revision() <= update.revision())
        .forEach(this::scheduleRemoval);
    advanceVersion(update.revision());
  }

  private void advanceVersion(long latest) {
    if (latest > version) {
      version = latest;
      listener.onVersion();
    }
  }

  /**
   * Adds a member or updates its entry. An entry that is not newer than the known one only cancels
   * a pending removal of the member.
   */
  private void put(MemberEntry listed) {
    MemberEntry known = entries.get(listed.id());
    MemberEntry entry = isRestoredFromBeforeDrain(known, listed) ? listed.asDraining() : listed;
    pendingRemovals.remove(entry.id());
    if (known != null && known.revision() >= entry.revision()) {
      return;
    }
    if (known != null && !known.pool().equals(entry.pool())) {
      remove(entry.id());
    }
    entries.put(entry.id(), entry);
    listener.onEntry(entry);
  }

  /**
   * Checks if an entry may be from before the report that the member is leaving, because the store
   * was restored from an older copy. The member writes its entry again soon.
   */
  private static boolean isRestoredFromBeforeDrain(MemberEntry known, MemberEntry listed) {
    return known != null
        && known.draining()
        && known.isSameIncarnation(listed)
        && RevisionOrder.eraOf(listed.revision()) > RevisionOrder.eraOf(known.revision());
  }

  /** Removes a member after the removal delay, unless its entry is back by then. */
  private void scheduleRemoval(String id) {
    if (entries.containsKey(id) && pendingRemovals.add(id)) {
      loop.schedule(
          REMOVAL_DELAY_MILLIS,
          () -> {
            if (pendingRemovals.remove(id)) {
              remove(id);
            }
          });
    }
  }

  private void remove(String id) {
    MemberEntry removed = entries.remove(id);
    if (removed != null) {
      listener.onRemoved(removed);
    }
  }

  /** Is told of changes, on the event loop. */
  public interface Listener {

    /**
     * Handles a new or changed entry.
     *
     * @param entry The entry in force from now on.
     */
    void onEntry(MemberEntry entry);

    /**
     * Handles the end of a member.
     *
     * @param entry Its last entry.
     */
    void onRemoved(MemberEntry entry);

    /** Handles a newer version of the members, after its changes were reported. */
    void onVersion();
  }
}
