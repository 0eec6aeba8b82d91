package org.hickoryshed.proxy.document;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.platform.StoreClient;
import org.hickoryshed.client.platform.VmListClient;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.membership.DistributionTree;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.kernel.settings.Addresses;
import org.hickoryshed.kernel.worker.PeriodicTask;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.peer.PeerFailure;
import org.hickoryshed.protocol.peer.PeerTransport;
import org.hickoryshed.proxy.ProxySettings;

/**
 * Updates the active configuration and VM list. All VMs poll their peers for newer revisions; a few
 * VMs of each failure domain, the watchers, also read them from the platform.
 */
public final class DocumentUpdater implements Service {

  /** The time for which the store holds a watch request open. */
  private static final Duration WATCH_WAIT = Duration.ofSeconds(10);

  /** The pause after a failed watch, and between two checks whether this VM is a watcher. */
  private static final Duration WATCH_RETRY_INTERVAL = Duration.ofMillis(500);

  /** The interval at which a watcher reads the VM list. */
  private static final Duration VM_LIST_INTERVAL = Duration.ofSeconds(1);

  /** The interval at which peers are queried. */
  private static final Duration PEER_QUERY_INTERVAL = Duration.ofMillis(500);

  /** The timeout of a call to a peer or to the VM list. */
  private static final Duration CALL_TIMEOUT = Duration.ofMillis(1000);

  private final ProxySettings settings;
  private final ActiveDocuments documents;
  private final StoreClient store;
  private final VmListClient vmList;
  private final PeerTransport peers;
  private final EventRecorder recorder;
  private final List<PeriodicTask> tasks;

  /** The version of the configuration that was last read from the store. */
  private long storeVersion;

  /** True if the store answered the latest watch request. */
  private boolean storeAnswers = true;

  /**
   * Creates an updater.
   *
   * @param settings The settings of this proxy.
   * @param documents The documents to update.
   * @param store The platform's store, which holds the configuration.
   * @param vmList The platform's VM list.
   * @param peers The transport to other VMs.
   * @param recorder Records when the store is lost and answers again.
   */
  public DocumentUpdater(
      ProxySettings settings,
      ActiveDocuments documents,
      StoreClient store,
      VmListClient vmList,
      PeerTransport peers,
      EventRecorder recorder) {
    this.settings = settings;
    this.documents = documents;
    this.store = store;
    this.vmList = vmList;
    this.peers = peers;
    this.recorder = recorder;
    tasks =
        List.of(
            new PeriodicTask("watch-store", Duration.ofMillis(10), this::watchStore),
            new PeriodicTask("read-vm-list", VM_LIST_INTERVAL, this::readVmList),
            new PeriodicTask("ask-peers", PEER_QUERY_INTERVAL, this::queryPeers));
  }

  @Override
  public void start() {
    tasks.forEach(PeriodicTask::start);
  }

  @Override
  public void stop() {
    tasks.forEach(PeriodicTask::stop);
  }

  /** Waits for a change of the configuration in the store, if this VM is a watcher. */
  private void watchStore() {
    if (!isWatcher()) {
      pause(WATCH_RETRY_INTERVAL);
      return;
    }
    Result<Optional<StoreClient.Versioned<Configuration>>, CallFailure> response =
        store.watch(StoreClient.CONFIGURATION, storeVersion, WATCH_WAIT, Configuration.class);
    switch (response) {
      case Result.Success<Optional<StoreClient.Versioned<Configuration>>, CallFailure>(
              Optional<StoreClient.Versioned<Configuration>> found) -> {
        recordStoreState(true, "");
        found.ifPresent(this::offerConfiguration);
      }
      case Result.Failed<Optional<StoreClient.Versioned<Configuration>>, CallFailure>(
              CallFailure failure) -> {
        recordStoreState(false, failure.toString());
        pause(WATCH_RETRY_INTERVAL);
      }
    }
  }

  /** Passes on a configuration that was read from the store. */
  private void offerConfiguration(StoreClient.Versioned<Configuration> object) {
    storeVersion = object.version();
    documents.offer(object.value(), "store");
  }

  /**
   * Records when the store stops or starts to answer.
   *
   * @param answers {@code true} if the store answers.
   * @param detail What is known about the failure, empty if the store answers.
   */
  private void recordStoreState(boolean answers, String detail) {
    if (answers != storeAnswers) {
      storeAnswers = answers;
      recorder.record(answers ? "store-answers" : "store-lost", "detail", detail);
    }
  }

  private void readVmList() {
    if (isWatcher()) {
      vmList.read(CALL_TIMEOUT).value().ifPresent(documents::offer);
    }
  }

  /**
   * Queries the parent in the distribution tree and one random other peer for newer revisions.
   * Without a VM list one of the seed peers is queried instead.
   */
  private void queryPeers() {
    DistributionTree tree = tree();
    tree.parent().map(Vm::peerAddress).ifPresent(this::queryPeer);
    List<String> others = new ArrayList<>();
    for (Vm vm : documents.vmList().entries()) {
      if (!vm.name().equals(settings.name())) {
        others.add(vm.peerAddress());
      }
    }
    if (others.isEmpty()) {
      settings.seedPeers().forEach(seed -> others.add(Addresses.write(seed)));
    }
    if (!others.isEmpty()) {
      queryPeer(others.get(ThreadLocalRandom.current().nextInt(others.size())));
    }
  }

  /** Queries a peer for newer revisions. */
  private void queryPeer(String address) {
    Message.AskDocuments request =
        new Message.AskDocuments(
            documents.configuration().revision(), documents.vmList().revision());
    Result<Message, PeerFailure> response = peers.call(address, request, CALL_TIMEOUT);
    if (response.value().orElse(request) instanceof Message.Documents received) {
      received.configuration().ifPresent(offered -> documents.offer(offered, address));
      received.vmList().ifPresent(documents::offer);
    }
  }

  /**
   * Checks if this VM reads from the platform.
   *
   * @return {@code true} if this VM is a watcher or has no configuration yet.
   */
  private boolean isWatcher() {
    return documents.configuration().revision() == 0 || tree().isWatcher();
  }

  /** Returns the distribution tree of the failure domain of this VM. */
  private DistributionTree tree() {
    return DistributionTree.of(documents.vmList(), settings.domain(), settings.name());
  }

  private static void pause(Duration duration) {
    try {
      Thread.sleep(duration);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
