package org.hickoryshed.decision.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.hickoryshed.decision.configuration.AdoptionDecision;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.ConfigurationProblem;
import org.hickoryshed.decision.configuration.ConfigurationValidator;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.membership.DistributionTree;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.membership.VmList;

/** Steps of the scenarios about the distribution and validation of the configuration. */
public final class ConfigurationSteps {

  private static final String DOMAIN = "gyeonggi-1";

  private final Map<String, Long> inForce = new HashMap<>();
  private VmList vms = VmList.EMPTY;
  private long stored;
  private boolean storeDown;
  private AdoptionDecision latest = AdoptionDecision.KEEP;
  private List<ConfigurationProblem> problems = List.of();

  @Given("a failure domain with {int} proxies and revision {long} in force")
  public void proxies(int count, long revision) {
    List<Vm> entries =
        IntStream.rangeClosed(1, count)
            .mapToObj(number -> new Vm("entry-" + number, DOMAIN, "", "", false))
            .toList();
    vms = new VmList(1, entries, List.of());
    entries.forEach(vm -> inForce.put(vm.name(), revision));
    stored = revision;
  }

  @Given("a proxy that starts with no configuration")
  public void proxyWithoutConfiguration() {
    Vm fresh = new Vm("fresh", DOMAIN, "", "", false);
    List<Vm> entries = new java.util.ArrayList<>(vms.entries());
    entries.add(fresh);
    vms = new VmList(2, entries, List.of());
    inForce.put("fresh", 0L);
  }

  @When("an operator's edit is accepted as revision {long}")
  public void accepted(long revision) {
    stored = revision;
  }

  @When("the store is down")
  public void storeDown() {
    storeDown = true;
  }

  @When("the store goes back to revision {long}")
  public void storeGoesBack(long revision) {
    stored = revision;
  }

  @When("each proxy polls {int} time(s)")
  public void poll(int times) {
    for (int round = 0; round < times; round++) {
      Map<String, Long> before = Map.copyOf(inForce);
      vms.entries().forEach(vm -> pollOnce(vm.name(), before));
    }
  }

  @When("an operator deletes the pool of a route")
  public void deletePool() {
    Route route =
        new Route(
            "place-order",
            "orders",
            Route.Access.WRITE,
            Route.Reads.REPLICAS,
            Optional.empty(),
            100,
            1);
    problems =
        ConfigurationValidator.validate(new Configuration(2, "edit", List.of(route), List.of()));
  }

  @Then("revision {long} is in force on every proxy")
  public void inForce(long revision) {
    assertThat(inForce.values()).allMatch(value -> value == revision);
  }

  @Then("a watcher reports that the store went back")
  public void lowerRevisionReported() {
    assertThat(latest).isEqualTo(AdoptionDecision.REFUSE_LOWER);
  }

  @Then("the edit is refused because of a missing pool")
  public void editRefused() {
    assertThat(problems)
        .containsExactly(new ConfigurationProblem.MissingPool("routes.place-order.pool", "orders"));
  }

  private void pollOnce(String name, Map<String, Long> before) {
    DistributionTree tree = DistributionTree.of(vms, DOMAIN, name);
    if (tree.isWatcher() && !storeDown) {
      offer(name, stored);
    }
    tree.parent().ifPresent(parent -> offer(name, before.get(parent.name())));
    if (inForce.get(name) == 0) {
      // A process without a configuration also polls any other peer.
      before.values().forEach(revision -> offer(name, revision));
    }
  }

  private void offer(String name, long revision) {
    AdoptionDecision adoption = AdoptionDecision.of(inForce.get(name), revision);
    if (adoption == AdoptionDecision.ADOPT) {
      inForce.put(name, revision);
    }
    if (adoption == AdoptionDecision.REFUSE_LOWER) {
      latest = adoption;
    }
  }
}
