package org.hickoryshed.decision.membership;

import java.util.List;

/**
 * The platform's list of VMs, which may be outdated.
 *
 * @param revision The revision of the list.
 * @param entries The VMs that run the system's processes.
 * @param leavingMembers The names of the database members on upstream VMs that are leaving.
 */
public record VmList(long revision, List<Vm> entries, List<String> leavingMembers) {

  /** The list before any was received. */
  public static final VmList EMPTY = new VmList(0, List.of(), List.of());

  /** Copies the lists. */
  public VmList {
    entries = List.copyOf(entries);
    leavingMembers = List.copyOf(leavingMembers);
  }

  /**
   * Returns the VMs of a failure domain that are not leaving, or all of them if all are leaving.
   *
   * @param domain The failure domain.
   * @return The VMs, empty if none of the failure domain is listed.
   */
  public List<Vm> notLeavingOrAll(String domain) {
    List<Vm> all = entries.stream().filter(vm -> vm.domain().equals(domain)).toList();
    List<Vm> notLeaving = all.stream().filter(vm -> !vm.leaving()).toList();
    return notLeaving.isEmpty() ? all : notLeaving;
  }

  /**
   * Returns the VMs of all failure domains that are not leaving.
   *
   * @return The VMs, empty if all are leaving.
   */
  public List<Vm> notLeaving() {
    return entries.stream().filter(vm -> !vm.leaving()).toList();
  }
}
