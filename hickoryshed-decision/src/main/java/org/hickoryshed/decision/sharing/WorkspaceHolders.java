package org.hickoryshed.decision.sharing;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Collection;
import java.util.Optional;
import java.util.function.Function;
import org.hickoryshed.decision.membership.RendezvousHashing;

/**
 * Chooses the proxies that hold the connections to a member where connections belong to workspaces.
 *
 * <p>There a connection serves one workspace only, so that a member accepts too few for one in each
 * failure domain. The workspaces are divided into shards, and one proxy holds the connections of a
 * shard for the whole system. The candidates are the proxies in the failure domain of the member:
 * the statement crosses between failure domains once, as it does from any other holder. With two
 * shards, the loss of a holder leaves the other half of the connections untouched.
 */
public final class WorkspaceHolders {

  /** The number of proxies that hold connections to one member. */
  public static final int SHARDS = 2;

  private WorkspaceHolders() {}

  /**
   * Returns the shard of a workspace, the same at all proxies.
   *
   * @param workspace The name of the workspace, empty for statements without one.
   * @return The number of the shard, from zero.
   */
  public static int shardOf(Optional<String> workspace) {
    long hash = Hashing.komihash5_0().hashStream().putString(workspace.orElse("")).getAsLong();
    return (int) Long.remainderUnsigned(hash, SHARDS);
  }

  /**
   * Chooses the holder of a shard.
   *
   * @param member The identifier of the member.
   * @param shard The number of the shard.
   * @param candidates The names of the proxies that may hold it; there must be one.
   * @return The name of the holder.
   */
  public static String holderOf(String member, int shard, Collection<String> candidates) {
    return RendezvousHashing.order(member + "#" + shard, candidates, Function.identity())
        .getFirst();
  }
}
