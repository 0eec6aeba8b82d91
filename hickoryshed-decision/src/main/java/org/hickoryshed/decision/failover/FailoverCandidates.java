package org.hickoryshed.decision.failover;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.hickoryshed.decision.membership.RendezvousHashing;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.membership.VmList;

/**
 * Selects the VMs whose failover processes monitor a database, ranked by the order in which they
 * act on a failure of its primary. Every VM with the same VM list computes the same ranking.
 */
public final class FailoverCandidates {

  private static final int CANDIDATES_PER_DOMAIN = 2;

  private FailoverCandidates() {}

  /**
   * Ranks the candidates for a database among the VMs that are not leaving.
   *
   * <p>The first candidates of all failure domains come before all second ones, so that the loss of
   * a failure domain delays a promotion by one rank step only.
   *
   * @param database The name of the database.
   * @param list The VM list.
   * @return The candidates; the one that acts first has rank zero.
   */
  public static List<Vm> of(String database, VmList list) {
    Map<String, Integer> takenByDomain = new LinkedHashMap<>();
    List<List<Vm>> rounds = new ArrayList<>();
    for (int round = 0; round < CANDIDATES_PER_DOMAIN; round++) {
      rounds.add(new ArrayList<>());
    }
    List<Vm> notLeaving = list.entries().stream().filter(vm -> !vm.leaving()).toList();
    for (Vm vm : RendezvousHashing.order(database, notLeaving, Vm::name)) {
      int round = takenByDomain.merge(vm.domain(), 1, Integer::sum) - 1;
      if (round < CANDIDATES_PER_DOMAIN) {
        rounds.get(round).add(vm);
      }
    }
    return rounds.stream().flatMap(List::stream).toList();
  }

  /**
   * Returns the rank of a VM.
   *
   * @param candidates The ranked candidates.
   * @param name The name of the VM.
   * @return The rank starting at zero, empty if the VM is not a candidate.
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
