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

/** Feeds the documents from the platform, if this VM is a watcher, and from peers. */
public final class DocumentUpdater implements Service {

  /** The time for which a watch waits. */
  private static final Duration WATCH_WAIT = Duration.ofSeconds(10);

  /** The pause after a failed watch. */
  private static final Duration WATCH_PAUSE = Duration.ofMillis(500);

  /** The time between two reads of the VM list. */
  private static final Duration VM_LIST_PAUSE = Duration.ofSeconds(1);

  /** The time between two questions to peers. */
  private static final Duration PEER_PAUSE = Duration.ofMillis(500);

  /** The longest time to wait for a peer or the VM list. */
  private static final Duration TIMEOUT = Duration.ofMillis(1000);

  /** The settings. */
  private final ProxySettings settings;

  /** The documents. */
  private final ActiveDocuments documents;

  /** The store. */
  private final StoreClient store;

  /** The VM list. */
  private final VmListClient vmList;

  /** The peers. */
  private final PeerTransport peers;

  /** The event recorder. */
  private final EventRecorder recorder;

  /** The duties of this feed. */
  private final List<PeriodicTask> duties;

  /** The version of the configuration in the store that was read last. */
  private long storeVersion;

  /** True if the store answered the latest watch. */
  private boolean storeAnswers = true;

  /**
   * Creates a new feed.
   *
   * @param settings The settings.
   * @param documents The documents.
   * @param store The store.
   * @param vmList The VM list.
   * @param peers The peers.
   * @param recorder The event recorder.
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
    duties =
        List.of(
            new PeriodicTask("watch-store", Duration.ofMillis(10), this::watchStore),
            new PeriodicTask("read-vm-list", VM_LIST_PAUSE, this::readVmList),
            new PeriodicTask("ask-peers", PEER_PAUSE, this::askPeers));
  }

  @Override
  public void start() {
    duties.forEach(PeriodicTask::start);
  }

  @Override
  public void stop() {
    duties.forEach(PeriodicTask::stop);
  }

  /** Watches the configuration in the store, if this VM is a watcher. */
  private void watchStore() {
    if (!isWatcher()) {
      pause(WATCH_PAUSE);
      return;
    }
    Result<Optional<StoreClient.Versioned<Configuration>>, CallFailure> answer =
        store.watch(StoreClient.CONFIGURATION, storeVersion, WATCH_WAIT, Configuration.class);
    switch (answer) {
      case Result.Success<Optional<StoreClient.Versioned<Configuration>>, CallFailure>(
              Optional<StoreClient.Versioned<Configuration>> found) -> {
        changeStoreState(true, "");
        found.ifPresent(this::adopt);
      }
      case Result.Failed<Optional<StoreClient.Versioned<Configuration>>, CallFailure>(
              CallFailure failure) -> {
        changeStoreState(false, failure.toString());
        pause(WATCH_PAUSE);
      }
    }
  }

  /**
   * Offers a configuration that was read from the store.
   *
   * @param object The object.
   */
  private void adopt(StoreClient.Versioned<Configuration> object) {
    storeVersion = object.version();
    documents.offer(object.value(), "store");
  }

  /**
   * Records a change of the state of the store.
   *
   * @param answers {@code true} if the store answers.
   * @param detail What is known about the failure.
   */
  private void changeStoreState(boolean answers, String detail) {
    if (answers != storeAnswers) {
      storeAnswers = answers;
      recorder.record(answers ? "store-answers" : "store-lost", "detail", detail);
    }
  }

  /** Reads the VM list, if this VM is a watcher. */
  private void readVmList() {
    if (isWatcher()) {
      vmList.read(TIMEOUT).value().ifPresent(documents::offer);
    }
  }

  /** Asks the parent in the spread tree and some other peer for higher revisions. */
  private void askPeers() {
    DistributionTree tree = tree();
    tree.parent().map(Vm::peerAddress).ifPresent(this::ask);
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
      ask(others.get(ThreadLocalRandom.current().nextInt(others.size())));
    }
  }

  /**
   * Asks a peer for higher revisions.
   *
   * @param address The address of the peer.
   */
  private void ask(String address) {
    Message.AskDocuments question =
        new Message.AskDocuments(
            documents.configuration().revision(), documents.vmList().revision());
    Result<Message, PeerFailure> answer = peers.call(address, question, TIMEOUT);
    if (answer.value().orElse(question) instanceof Message.Documents received) {
      received.configuration().ifPresent(offered -> documents.offer(offered, address));
      received.vmList().ifPresent(documents::offer);
    }
  }

  /**
   * Checks if this VM watches the platform.
   *
   * @return {@code true} if this VM is a watcher or has no configuration yet.
   */
  private boolean isWatcher() {
    return documents.configuration().revision() == 0 || tree().isWatcher();
  }

  /**
   * Returns the spread tree of the own failure domain.
   *
   * @return The spread tree.
   */
  private DistributionTree tree() {
    return DistributionTree.of(documents.vmList(), settings.domain(), settings.name());
  }

  /**
   * Pauses a duty.
   *
   * @param duration The duration.
   */
  private static void pause(Duration duration) {
    try {
      Thread.sleep(duration);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }
}
