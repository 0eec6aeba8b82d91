package org.hickoryshed.failover;

import java.net.InetSocketAddress;
import java.time.Duration;
import org.hickoryshed.decision.configuration.AdoptionDecision;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.settings.Addresses;
import org.hickoryshed.kernel.worker.PeriodicTask;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.peer.PeerTransport;

/** The documents that a failover process takes from proxies. */
final class ConfigurationPoller implements Service {

  /** The time between two questions. */
  private static final Duration PAUSE = Duration.ofMillis(500);

  /** The longest time to wait for a proxy. */
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  /** The settings. */
  private final FailoverSettings settings;

  /** The connections to the proxies. */
  private final PeerTransport peers;

  /** The action to run when the configuration changed. */
  private final Runnable onChange;

  /** The duty that asks the proxies. */
  private final PeriodicTask asking = new PeriodicTask("ask-proxies", PAUSE, this::ask);

  /** The configuration. */
  private volatile Configuration configuration = Configuration.EMPTY;

  /** The VM list. */
  private volatile VmList vmList = VmList.EMPTY;

  /**
   * Creates a new source.
   *
   * @param settings The settings.
   * @param peers The connections to the proxies.
   * @param onChange The action to run when the configuration changed.
   */
  ConfigurationPoller(FailoverSettings settings, PeerTransport peers, Runnable onChange) {
    this.settings = settings;
    this.peers = peers;
    this.onChange = onChange;
  }

  @Override
  public void start() {
    asking.start();
  }

  @Override
  public void stop() {
    asking.stop();
  }

  /**
   * Returns the configuration.
   *
   * @return The configuration.
   */
  Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the VM list.
   *
   * @return The VM list.
   */
  VmList vmList() {
    return vmList;
  }

  /** Asks the proxies, the own VM's first, until one answers. */
  private void ask() {
    for (InetSocketAddress proxy : settings.proxies()) {
      String address = Addresses.write(proxy);
      Message question = new Message.AskDocuments(configuration.revision(), vmList.revision());
      Message reply = peers.call(address, question, TIMEOUT).value().orElse(null);
      if (reply instanceof Message.Documents documents) {
        adopt(documents);
        return;
      }
    }
  }

  /**
   * Takes documents of higher revisions.
   *
   * @param documents The documents.
   */
  private void adopt(Message.Documents documents) {
    documents
        .vmList()
        .filter(
            list ->
                AdoptionDecision.of(vmList.revision(), list.revision()) == AdoptionDecision.ADOPT)
        .ifPresent(list -> vmList = list);
    documents
        .configuration()
        .filter(
            held ->
                AdoptionDecision.of(configuration.revision(), held.revision())
                    == AdoptionDecision.ADOPT)
        .ifPresent(
            held -> {
              configuration = held;
              onChange.run();
            });
  }
}
