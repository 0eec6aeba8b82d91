package org.hickoryshed.decision.failover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.hickoryshed.decision.membership.RendezvousHashing;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.membership.VmList;

/** The VMs whose failover processes watch a database, in the order in which they act. */
public final class FailoverCandidates {

  /** The number of candidates of each failure domain. */
  private static final int PER_DOMAIN = 2;

  /** This class is not instantiated. */
  private FailoverCandidates() {}

  /**
   * Orders the candidates of a database.
   *
   * <p>The first candidates of all failure domains come before all second ones, so that the loss of
   * a failure domain delays a promotion by one step only.
   *
   * @param database The name of the database.
   * @param list The VM list.
   * @return The candidates in the order in which they act.
   */
  public static List<Vm> of(String database, VmList list) {
    Map<String, Integer> taken = new LinkedHashMap<>();
    List<List<Vm>> rounds = new ArrayList<>();
    for (int round = 0; round < PER_DOMAIN; round++) {
      rounds.add(new ArrayList<>());
    }
    List<Vm> staying = list.entries().stream().filter(vm -> !vm.leaving()).toList();
    for (Vm vm : RendezvousHashing.order(database, staying, Vm::name)) {
      int round = taken.merge(vm.domain(), 1, Integer::sum) - 1;
      if (round < PER_DOMAIN) {
        rounds.get(round).add(vm);
      }
    }
    return rounds.stream().flatMap(List::stream).toList();
  }

  /**
   * Returns the rank of a VM.
   *
   * @param candidates The candidates.
   * @param name The name of the VM.
   * @return The rank or an empty optional if the VM is no candidate.
   */
  public static OptionalInt rank(List<Vm> candidates, String name) {
    for (int index = 0; index < candidates.size(); index++) {
      if (candidates.get(index).name().equals(name)) {
        return OptionalInt.of(index);
      }
    }
    return OptionalInt.empty();
  }
}
