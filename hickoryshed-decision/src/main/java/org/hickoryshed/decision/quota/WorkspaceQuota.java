package org.hickoryshed.decision.quota;

import java.util.OptionalLong;
import java.util.function.Consumer;

/** Admits the operations of workspaces within their quotas. */
public interface WorkspaceQuota {

  /** Admits every operation. */
  WorkspaceQuota UNLIMITED =
      new WorkspaceQuota() {
        @Override
        public void admit(String workspace, Consumer<OptionalLong> outcome) {
          outcome.accept(OptionalLong.empty());
        }

        @Override
        public void giveBack(String workspace) {
          // Nothing was taken.
        }
      };

  /**
   * Admits or refuses one operation of a workspace, now or as soon as it is known, which takes some
   * round trips between proxies at most.
   *
   * @param workspace The name of the workspace.
   * @param outcome Receives an empty value if the operation is admitted, otherwise the time in
   *     milliseconds after which it may be. Called once, possibly before this method returns.
   */
  void admit(String workspace, Consumer<OptionalLong> outcome);

  /**
   * Gives back an admitted operation that certainly reached no member.
   *
   * @param workspace The name of the workspace.
   */
  void giveBack(String workspace);
}
