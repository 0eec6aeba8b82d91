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

/**
 * Polls proxies for the two documents that a failover process needs, the configuration and the VM
 * list, and keeps the newest revision of each.
 */
final class ConfigurationPoller implements Service {

  /** The interval between two polls. */
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);

  /** The timeout of a request to one proxy. */
  private static final Duration TIMEOUT = Duration.ofSeconds(1);

  private final FailoverSettings settings;

  private final PeerTransport peers;

  /** Called on the polling thread after a new configuration was adopted. */
  private final Runnable onChange;

  private final PeriodicTask task = new PeriodicTask("ask-proxies", POLL_INTERVAL, this::poll);

  private volatile Configuration configuration = Configuration.EMPTY;

  private volatile VmList vmList = VmList.EMPTY;

  /**
   * Creates a poller.
   *
   * @param settings The settings with the addresses of the proxies.
   * @param peers The transport to the proxies.
   * @param onChange Called on the polling thread after a new configuration was adopted.
   */
  ConfigurationPoller(FailoverSettings settings, PeerTransport peers, Runnable onChange) {
    this.settings = settings;
    this.peers = peers;
    this.onChange = onChange;
  }

  @Override
  public void start() {
    task.start();
  }

  @Override
  public void stop() {
    task.stop();
  }

  /**
   * Returns the newest configuration.
   *
   * @return The configuration, {@link Configuration#EMPTY} before the first one arrives.
   */
  Configuration configuration() {
    return configuration;
  }

  /**
   * Returns the newest VM list. A changed list is a new object.
   *
   * @return The VM list, {@link VmList#EMPTY} before the first one arrives.
   */
  VmList vmList() {
    return vmList;
  }

  /** Asks the proxies in the order of the settings until one answers. */
  private void poll() {
    for (InetSocketAddress proxy : settings.proxies()) {
      String address = Addresses.write(proxy);
      Message request = new Message.AskDocuments(configuration.revision(), vmList.revision());
      Message reply = peers.call(address, request, TIMEOUT).value().orElse(null);
      if (reply instanceof Message.Documents documents) {
        adopt(documents);
        return;
      }
    }
  }

  /** Adopts documents of a higher revision than the current ones. */
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
            received ->
                AdoptionDecision.of(configuration.revision(), received.revision())
                    == AdoptionDecision.ADOPT)
        .ifPresent(
            received -> {
              configuration = received;
              onChange.run();
            });
  }
}
