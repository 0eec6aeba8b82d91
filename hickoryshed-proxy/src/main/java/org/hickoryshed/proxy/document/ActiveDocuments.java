package org.hickoryshed.proxy.document;

import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.hickoryshed.decision.configuration.AdoptionDecision;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.ConfigurationProblem;
import org.hickoryshed.decision.configuration.ConfigurationValidator;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.metric.Metrics;

/**
 * Holds the documents that are active in this process, that is the configuration and the VM list,
 * and adopts newer revisions. All methods may be called by any thread.
 */
public final class ActiveDocuments {

  private final AtomicReference<Configuration> configuration =
      new AtomicReference<>(Configuration.EMPTY);

  private final AtomicReference<VmList> vmList = new AtomicReference<>(VmList.EMPTY);
  private final EventRecorder recorder;
  private final Metrics metrics;

  /**
   * Creates documents of revision zero and registers gauges of the revisions.
   *
   * @param recorder Records adoptions and refusals.
   * @param metrics Counts refusals.
   */
  public ActiveDocuments(EventRecorder recorder, Metrics metrics) {
    this.recorder = recorder;
    this.metrics = metrics;
    metrics.registerGauge("configuration_revision", () -> configuration.get().revision());
    metrics.registerGauge("vm_list_revision", () -> vmList.get().revision());
  }

  /**
   * Returns the active configuration, or {@link Configuration#EMPTY} before the first was adopted.
   */
  public Configuration configuration() {
    return configuration.get();
  }

  /** Returns the active VM list, or {@link VmList#EMPTY} before the first was adopted. */
  public VmList vmList() {
    return vmList.get();
  }

  /**
   * Adopts a configuration if it is valid and its revision is higher than the active one.
   *
   * @param offered The configuration to adopt.
   * @param source Where the configuration comes from: the store or the address of a peer.
   */
  public synchronized void offer(Configuration offered, String source) {
    Configuration current = configuration.get();
    switch (AdoptionDecision.of(current.revision(), offered.revision())) {
      case ADOPT -> {
        List<ConfigurationProblem> problems = ConfigurationValidator.validate(offered);
        if (problems.isEmpty()) {
          configuration.set(offered);
          recorder.record(
              "configuration-adopted", "revision", offered.revision(), "source", source);
        } else {
          refuse("faulty", source, problems.toString());
        }
      }
      case KEEP -> {
        // The revision is active already.
      }
      case REFUSE_LOWER ->
          refuse(
              "lower-revision",
              source,
              "revision " + offered.revision() + " is lower than the active one");
    }
  }

  /** Adopts a VM list if its revision is higher than the active one. */
  public synchronized void offer(VmList offered) {
    if (AdoptionDecision.of(vmList.get().revision(), offered.revision())
        == AdoptionDecision.ADOPT) {
      vmList.set(offered);
      recorder.record("vm-list-adopted", "revision", offered.revision());
    }
  }

  /**
   * Counts a refused configuration. Only the first refusal for each cause is recorded as an event.
   *
   * @param cause The cause by which refusals are counted.
   * @param source Where the configuration comes from.
   * @param detail What is wrong with the configuration.
   */
  private void refuse(String cause, String source, String detail) {
    if (metrics.counter("configurations_refused", "cause", cause).get() == 0) {
      recorder.record("configuration-refused", "cause", cause, "source", source, "why", detail);
    }
    metrics.counter("configurations_refused", "cause", cause).inc();
  }
}
