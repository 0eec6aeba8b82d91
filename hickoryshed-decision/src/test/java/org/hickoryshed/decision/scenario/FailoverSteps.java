package org.hickoryshed.decision.scenario;

import static org.assertj.core.api.Assertions.assertThat;

import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.hickoryshed.decision.failover.PrimaryFailureDetector;
import org.hickoryshed.decision.failover.SuspicionTimeouts;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;

/** Steps of the scenarios about the detection of failed primaries. */
public final class FailoverSteps {

  private static final SuspicionTimeouts TIMEOUTS = new SuspicionTimeouts(500, 150, 2_000, 150);
  private static final int MEMBERS = 3;
  private static final int PROBE_INTERVAL = 50;
  private static final String PRIMARY = "a-1";

  private final Set<String> silent = new HashSet<>();
  private final Set<String> refusing = new HashSet<>();
  private final Set<String> unreachable = new HashSet<>();
  private PrimaryFailureDetector detector = new PrimaryFailureDetector(TIMEOUTS, MEMBERS, 0);
  private int rank;
  private int domains = MEMBERS;
  private long primaryHeld = 10;
  private long now;
  private boolean replicating = true;

  @Given("a candidate of rank {int} in {int} failure domains")
  public void candidate(int newRank, int newDomains) {
    rank = newRank;
    domains = newDomains;
    detector = new PrimaryFailureDetector(TIMEOUTS, MEMBERS, now);
  }

  @Given("a database with primary a-1 in term {int}")
  public void database(int term) {
    probe(term);
  }

  @When("{word} is frozen or cut off from the candidate")
  public void silence(String member) {
    silent.add(member);
  }

  @When("{word} answers again")
  public void answers(String member) {
    silent.remove(member);
    refusing.remove(member);
  }

  @When("the process of {word} is killed")
  public void kill(String member) {
    refusing.add(member);
  }

  @When("the primary is cut off from its replicas while it takes writes")
  public void cutReplication() {
    replicating = false;
  }

  @When("{int} ms pass in term {int}")
  public void advanceTime(int millis, int term) {
    for (int elapsed = 0; elapsed < millis; elapsed += PROBE_INTERVAL) {
      now += PROBE_INTERVAL;
      probe(term);
    }
  }

  @When("a-3 reports that it follows {word} in term {int}")
  public void reportNewerPrimary(String primary, int term) {
    detector.onStatus(
        new MemberStatus("a-3", Role.REPLICA, term, term, 20, 20, Optional.of(primary)), now);
  }

  @Then("the candidate takes {word} for the primary")
  public void takesForPrimary(String member) {
    assertThat(detector.primaryName()).isEqualTo(member);
  }

  @When("failure domain {word} does not reach the primary")
  public void witness(String domain) {
    unreachable.add(domain);
  }

  @Then("the candidate trusts the primary")
  public void trustsPrimary() {
    assertThat(detector.evaluate(rank, now)).isEqualTo(PrimaryFailureDetector.Verdict.TRUST);
  }

  @Then("the candidate asks the witnesses")
  public void asksWitnesses() {
    assertThat(detector.evaluate(rank, now))
        .isEqualTo(PrimaryFailureDetector.Verdict.ASK_WITNESSES);
  }

  @Then("the candidate promotes without asking")
  public void promotesAtOnce() {
    assertThat(detector.evaluate(rank, now)).isEqualTo(PrimaryFailureDetector.Verdict.PROMOTE);
  }

  @Then("the witnesses confirm the suspicion")
  public void confirmed() {
    assertThat(PrimaryFailureDetector.isConfirmed(unreachable, domains)).isTrue();
  }

  @Then("the witnesses do not confirm the suspicion")
  public void notConfirmed() {
    assertThat(PrimaryFailureDetector.isConfirmed(unreachable, domains)).isFalse();
  }

  private void probe(int term) {
    primaryHeld++;
    for (String member : Set.of(PRIMARY, "a-2", "a-3")) {
      if (refusing.contains(member)) {
        detector.onConnectionRefused(member, now);
      } else if (!silent.contains(member)) {
        detector.onStatus(status(member, term), now);
      }
    }
  }

  private MemberStatus status(String member, int term) {
    boolean isPrimary = member.equals(PRIMARY);
    long held = isPrimary || replicating ? primaryHeld : 10;
    return new MemberStatus(
        member,
        isPrimary ? Role.PRIMARY : Role.REPLICA,
        term,
        term,
        held,
        held,
        Optional.of(PRIMARY));
  }
}
