package org.hickoryshed.decision.membership;

import java.util.List;

/**
 * The platform's list of VMs, which lags.
 *
 * @param revision The revision of the list.
 * @param entries The entry VMs of the system.
 * @param leavingMembers The names of the database members on upstream VMs that are leaving.
 */
public record VmList(long revision, List<Vm> entries, List<String> leavingMembers) {

  /** The list before any was received. */
  public static final VmList EMPTY = new VmList(0, List.of(), List.of());

  /** Creates a new list. */
  public VmList {
    entries = List.copyOf(entries);
    leavingMembers = List.copyOf(leavingMembers);
  }

  /**
   * Returns the VMs of a failure domain.
   *
   * @param domain The failure domain.
   * @return The VMs that are not leaving, or all of the domain if all are.
   */
  public List<Vm> notLeavingOrAll(String domain) {
    List<Vm> all = entries.stream().filter(vm -> vm.domain().equals(domain)).toList();
    List<Vm> staying = all.stream().filter(vm -> !vm.leaving()).toList();
    return staying.isEmpty() ? all : staying;
  }

  /**
   * Returns the VMs of all failure domains.
   *
   * @return The VMs that are not leaving.
   */
  public List<Vm> notLeaving() {
    return entries.stream().filter(vm -> !vm.leaving()).toList();
  }
}
