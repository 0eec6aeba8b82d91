package org.hickoryshed.decision.membership;

import java.util.List;
import java.util.Optional;

/**
 * The tree over which documents spread within a failure domain.
 *
 * <p>The first ranks watch the platform. Each other rank asks its parent, so that no process
 * answers more than a fixed number of others.
 *
 * @param ranked The VMs of the failure domain in rendezvous order.
 * @param self The name of the own VM.
 */
public record DistributionTree(List<Vm> ranked, String self) {

  /** The number of VMs that watch the platform in each failure domain. */
  private static final int WATCHERS = 2;

  /** The number of VMs that ask the same parent. */
  private static final int FAN_OUT = 8;

  /** The key of the rendezvous order. */
  private static final String KEY = "documents";

  /** Creates a new tree. */
  public DistributionTree {
    ranked = List.copyOf(ranked);
  }

  /**
   * Creates the tree of a failure domain.
   *
   * @param list The VM list.
   * @param domain The failure domain.
   * @param self The name of the own VM.
   * @return The tree.
   */
  public static DistributionTree of(VmList list, String domain, String self) {
    return new DistributionTree(
        RendezvousHashing.order(KEY, list.notLeavingOrAll(domain), Vm::name), self);
  }

  /**
   * Checks if the own VM watches the platform.
   *
   * @return {@code true} if the own VM watches, which it also does if it is not listed.
   */
  public boolean isWatcher() {
    return rank() < WATCHERS;
  }

  /**
   * Returns the VM to ask for documents.
   *
   * @return The parent or an empty optional for the first rank and VMs that are not listed.
   */
  public Optional<Vm> parent() {
    int rank = rank();
    return rank <= 0 ? Optional.empty() : Optional.of(ranked.get((rank - 1) / FAN_OUT));
  }

  /**
   * Returns the rank of the own VM.
   *
   * @return The rank, negative if the own VM is not listed.
   */
  private int rank() {
    for (int index = 0; index < ranked.size(); index++) {
      if (ranked.get(index).name().equals(self)) {
        return index;
      }
    }
    return -1;
  }
}
