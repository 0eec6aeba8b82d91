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

/** The configuration and the VM list that are in force. */
public final class ActiveDocuments {

  /** The configuration in force. */
  private final AtomicReference<Configuration> configuration =
      new AtomicReference<>(Configuration.EMPTY);

  /** The VM list in force. */
  private final AtomicReference<VmList> vmList = new AtomicReference<>(VmList.EMPTY);

  /** The event recorder. */
  private final EventRecorder recorder;

  /** The metrics. */
  private final Metrics metrics;

  /**
   * Creates new documents.
   *
   * @param recorder The event recorder.
   * @param metrics The metrics.
   */
  public ActiveDocuments(EventRecorder recorder, Metrics metrics) {
    this.recorder = recorder;
    this.metrics = metrics;
    metrics.registerGauge("configuration_revision", () -> configuration.get().revision());
    metrics.registerGauge("vm_list_revision", () -> vmList.get().revision());
  }

  /**
   * Returns the configuration in force.
   *
   * @return The configuration in force.
   */
  public Configuration configuration() {
    return configuration.get();
  }

  /**
   * Returns the VM list in force.
   *
   * @return The VM list in force.
   */
  public VmList vmList() {
    return vmList.get();
  }

  /**
   * Offers a configuration.
   *
   * @param offered The configuration.
   * @param source Where the configuration comes from.
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
        // The revision is in force already.
      }
      case REFUSE_LOWER ->
          refuse("lower-revision", source, "revision " + offered.revision() + " is lower");
    }
  }

  /**
   * Offers a VM list.
   *
   * @param offered The VM list.
   */
  public synchronized void offer(VmList offered) {
    if (AdoptionDecision.of(vmList.get().revision(), offered.revision())
        == AdoptionDecision.ADOPT) {
      vmList.set(offered);
      recorder.record("vm-list-adopted", "revision", offered.revision());
    }
  }

  /**
   * Refuses a configuration.
   *
   * @param cause The cause for the counter.
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
