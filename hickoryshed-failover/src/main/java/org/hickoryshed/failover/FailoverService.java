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

/** The failover process of one VM. */
final class FailoverService implements Service {

  /** The settings. */
  private final FailoverSettings settings;

  /** The event recorder. */
  private final EventRecorder recorder;

  /** The client of the members. */
  private final MemberClient client;

  /** The other failover processes and the proxies. */
  private final PeerTransport peers;

  /** The source of the documents. */
  private final ConfigurationPoller documents;

  /** The guards by the names of the databases. */
  private final Map<String, FailoverCoordinator> guards = new ConcurrentHashMap<>();

  /**
   * Creates a new failover process.
   *
   * @param kernel The kernel to register the services of the process with.
   * @param settings The settings.
   */
  private FailoverService(Kernel kernel, FailoverSettings settings) {
    this.settings = settings;
    Metrics metrics = kernel.register("metrics", new Metrics());
    recorder = kernel.register("events", Daemon.newEventRecorder(settings.name() + "-failover"));
    client = new MemberClient(new JsonHttpClient(settings.peerAddress().getAddress()));
    peers =
        kernel.register(
            "peers", new PeerTransport(settings.peerAddress(), this::answer, recorder, metrics));
    documents =
        kernel.register("documents", new ConfigurationPoller(settings, peers, this::adaptGuards));
    AdminHandler admin =
        new AdminHandler(metrics, recorder, () -> true, this::status, AdminHandler::sendNotFound);
    kernel.register("admin", new HttpServer(settings.adminAddress(), admin));
    kernel.register("failover", this);
  }

  /**
   * Registers the services of a failover process.
   *
   * @param kernel The kernel.
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
    guards.values().forEach(FailoverCoordinator::stop);
    recorder.record("stopped");
  }

  /**
   * Answers another failover process.
   *
   * @param message The request.
   * @return The reply.
   */
  private Message answer(Message message) {
    if (message instanceof Message.AskWitness(String database, String member)) {
      FailoverCoordinator guard = guards.get(database);
      return guard == null
          ? new Message.Unsupported("no guard of " + database)
          : new Message.Witness(settings.domain(), guard.isPrimaryReachable(member));
    }
    return new Message.Unsupported(message.getClass().getSimpleName());
  }

  /** Starts, replaces and stops guards after a change of the configuration. */
  private synchronized void adaptGuards() {
    List<Database> databases = documents.configuration().databases();
    guards
        .values()
        .removeIf(
            guard -> {
              boolean gone = !databases.contains(guard.database());
              if (gone) {
                guard.stop();
              }
              return gone;
            });
    for (Database database : databases) {
      guards.computeIfAbsent(
          database.name(),
          name -> {
            FailoverCoordinator guard =
                new FailoverCoordinator(settings, database, documents, client, peers, recorder);
            guard.start();
            return guard;
          });
    }
  }

  /**
   * Returns the status for operators.
   *
   * @return The latest statuses of all members.
   */
  private List<MemberStatus> status() {
    return guards.values().stream().flatMap(guard -> guard.statuses().stream()).toList();
  }
}
