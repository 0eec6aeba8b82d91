package org.hickoryshed.decision.membership;

import java.util.List;
import java.util.Optional;

/**
 * The tree along which the configuration and the VM list are distributed within a failure domain.
 *
 * <p>The VMs of the first ranks fetch these documents from the platform. Every VM below the root
 * polls its parent, so that no process serves more than a fixed number of others.
 *
 * @param ranked The VMs of the failure domain in rendezvous order.
 * @param self The name of the own VM.
 */
public record DistributionTree(List<Vm> ranked, String self) {

  /** The number of VMs that fetch from the platform in each failure domain. */
  private static final int WATCHERS = 2;

  /** The maximum number of VMs that poll the same parent. */
  private static final int FAN_OUT = 8;

  /** The key of the rendezvous order. */
  private static final String KEY = "documents";

  /** Copies the list of VMs. */
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
   * Checks whether the own VM fetches documents from the platform.
   *
   * @return {@code true} if the own VM is among the first ranks or not listed.
   */
  public boolean isWatcher() {
    return rank() < WATCHERS;
  }

  /**
   * Returns the VM that the own VM polls for documents.
   *
   * @return The parent, empty for the root and for a VM that is not listed.
   */
  public Optional<Vm> parent() {
    int rank = rank();
    return rank <= 0 ? Optional.empty() : Optional.of(ranked.get((rank - 1) / FAN_OUT));
  }

  /** Returns the rank of the own VM starting at zero, negative if it is not listed. */
  private int rank() {
    for (int index = 0; index < ranked.size(); index++) {
      if (ranked.get(index).name().equals(self)) {
        return index;
      }
    }
    return -1;
  }
}
