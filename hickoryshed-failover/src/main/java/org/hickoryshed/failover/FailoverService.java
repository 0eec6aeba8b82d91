package org.hickoryshed.failover;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.member.MemberClient;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.kernel.command.Daemon;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.http.AdminHandler;
import org.hickoryshed.kernel.http.HttpServer;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.service.Kernel;
import org.hickoryshed.kernel.service.Service;
import org.hickoryshed.protocol.message.Message;
import org.hickoryshed.protocol.peer.PeerTransport;

/**
 * The service of a failover process. It runs a {@link FailoverCoordinator} for each configured
 * database and answers other failover processes as a witness.
 */
final class FailoverService implements Service {

  private final FailoverSettings settings;

  private final EventRecorder recorder;

  private final MemberClient client;

  /** The transport to other failover processes and to proxies. */
  private final PeerTransport peers;

  /** The source of the configuration and the VM list. */
  private final ConfigurationPoller poller;

  /** The coordinators by database name. */
  private final Map<String, FailoverCoordinator> coordinators = new ConcurrentHashMap<>();

  /** Creates the service and registers the parts of the process with the kernel. */
  private FailoverService(Kernel kernel, FailoverSettings settings) {
    this.settings = settings;
    Metrics metrics = kernel.register("metrics", new Metrics());
    recorder = kernel.register("events", Daemon.newEventRecorder(settings.name() + "-failover"));
    client = new MemberClient(new JsonHttpClient(settings.peerAddress().getAddress()));
    peers =
        kernel.register(
            "peers", new PeerTransport(settings.peerAddress(), this::answer, recorder, metrics));
    poller =
        kernel.register(
            "documents", new ConfigurationPoller(settings, peers, this::updateCoordinators));
    AdminHandler admin =
        new AdminHandler(metrics, recorder, () -> true, this::status, AdminHandler::sendNotFound);
    kernel.register("admin", new HttpServer(settings.adminAddress(), admin));
    kernel.register("failover", this);
  }

  /**
   * Registers all services of a failover process with a kernel.
   *
   * @param kernel The kernel, which starts and stops the services.
   * @param settings The settings.
   */
  static void assemble(Kernel kernel, FailoverSettings settings) {
    new FailoverService(kernel, settings);
  }

  @Override
  public void start() {
    recorder.record("started", "domain", settings.domain());
  }

  @Override
  public void stop() {
    coordinators.values().forEach(FailoverCoordinator::stop);
    recorder.record("stopped");
  }

  /** Answers a request of another failover process. */
  private Message answer(Message message) {
    if (message instanceof Message.AskWitness(String database, String member)) {
      FailoverCoordinator coordinator = coordinators.get(database);
      return coordinator == null
          ? new Message.Unsupported("no coordinator for database " + database)
          : new Message.Witness(settings.domain(), coordinator.isPrimaryReachable(member));
    }
    return new Message.Unsupported(message.getClass().getSimpleName());
  }

  /**
   * Stops the coordinators of databases that were changed or removed and starts coordinators for
   * new and changed ones. Called after each change of the configuration.
   */
  private synchronized void updateCoordinators() {
    List<Database> databases = poller.configuration().databases();
    coordinators
        .values()
        .removeIf(
            coordinator -> {
              boolean gone = !databases.contains(coordinator.database());
              if (gone) {
                coordinator.stop();
              }
              return gone;
            });
    for (Database database : databases) {
      coordinators.computeIfAbsent(
          database.name(),
          name -> {
            FailoverCoordinator coordinator =
                new FailoverCoordinator(settings, database, poller, client, peers, recorder);
            coordinator.start();
            return coordinator;
          });
    }
  }

  /** Returns the latest statuses of all members, for operators. */
  private List<MemberStatus> status() {
    return coordinators.values().stream()
        .flatMap(coordinator -> coordinator.statuses().stream())
        .toList();
  }
}
