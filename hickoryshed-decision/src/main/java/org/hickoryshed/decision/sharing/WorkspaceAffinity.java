package org.hickoryshed.decision.sharing;

import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import org.hickoryshed.decision.membership.RendezvousHashing;

/**
 * Tells at which members a workspace should have open connections: at the primary and at one
 * replica, its home.
 *
 * <p>All proxies choose the same home by rendezvous hashing, so that the reads of a workspace need
 * connections to one replica only as long as it is not busy. Nothing forbids the other replicas:
 * whoever selects a member weighs the home against its load, and takes another one if the home has
 * too much to do.
 */
public final class WorkspaceAffinity {

  private WorkspaceAffinity() {}

  /**
   * Chooses the home of a workspace.
   *
   * @param workspace The name of the workspace.
   * @param replicas The identifiers of the replicas that can be used.
   * @return The identifier of the home, empty without replicas.
   */
  public static Optional<String> homeOf(String workspace, Collection<String> replicas) {
    return RendezvousHashing.order(workspace, replicas, Function.identity()).stream().findFirst();
  }
}
