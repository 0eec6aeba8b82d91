package org.hickoryshed.session.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.hickoryshed.decision.freshness.ClockReading;
import org.hickoryshed.decision.freshness.FloorHistory;
import org.hickoryshed.session.member.Database;
import org.hickoryshed.session.net.EventLoop;

/**
 * Requests floors from other proxies and responds to their requests.
 *
 * <p>A floor is a log position of a database that holds every commit acknowledged before a known
 * time; see {@link FloorHistory}. The age of a received floor is counted from the time of the
 * request: the response was made later, so the floor is at most as old as the response says plus
 * the time since the request, however long the datagrams were on their way.
 *
 * <p>All methods run on the event loop.
 */
public final class FloorExchange {

  /** The number of proxies that one floor is requested from. */
  private static final int REQUESTED_PEERS = 2;

  /** The time after which a response to a request is ignored, in milliseconds. */
  private static final long REQUEST_TIMEOUT_MILLIS = 1000;

  /** The age from which a floor is too old to be sent, in milliseconds. */
  private static final long MAX_FLOOR_AGE_MILLIS = 10_000;

  private final EventLoop loop;

  private final PeerNetwork peers;

  private final Function<String, Optional<Database>> databases;

  /** The requests that still accept responses, by their identifiers. */
  private final Map<Long, PendingRequest> pendingRequests = new HashMap<>();

  private long nextRequestId = 1;

  /**
   * Creates an exchange.
   *
   * @param loop The event loop that owns the exchange.
   * @param peers The network of the other proxies.
   * @param databases Finds a database by the name of its pool.
   */
  public FloorExchange(
      EventLoop loop, PeerNetwork peers, Function<String, Optional<Database>> databases) {
    this.loop = loop;
    this.peers = peers;
    this.databases = databases;
  }

  /**
   * Requests a floor from a few proxies that are alive; later requests go to others.
   *
   * @param pool The name of the pool.
   * @param database The database that receives the floors.
   */
  public void requestFloor(String pool, Database database) {
    long requestId = nextRequestId++;
    pendingRequests.put(requestId, new PendingRequest(database, loop.readClocks()));
    loop.schedule(REQUEST_TIMEOUT_MILLIS, () -> pendingRequests.remove(requestId));
    List<String> alive = peers.alivePeers();
    for (int index = 0; index < Math.min(REQUESTED_PEERS, alive.size()); index++) {
      String peer = alive.get((int) ((requestId + index) % alive.size()));
      peers.send(peer, new PeerMessage.FloorRequest(pool, requestId));
    }
  }

  /**
   * Handles a floor request or response of another proxy; ignores other messages.
   *
   * @param from The name of the sending proxy.
   * @param message The message.
   */
  public void onMessage(String from, PeerMessage message) {
    switch (message) {
      case PeerMessage.FloorRequest request -> respond(from, request);
      case PeerMessage.FloorResponse response -> {
        PendingRequest pending = pendingRequests.get(response.requestId());
        if (pending != null) {
          ClockReading sentAt = pending.sentAt.minusMillis(response.ageMillis());
          pending.database.onPeerFloor(new FloorHistory.Floor(sentAt, response.position()));
        }
      }
      default -> {
        // Other messages do not concern floors.
      }
    }
  }

  /** Responds to a request if a floor is known that is not too old. */
  private void respond(String from, PeerMessage.FloorRequest request) {
    databases
        .apply(request.pool())
        .flatMap(database -> database.floors().latest())
        .ifPresent(
            floor -> {
              long age = loop.readClocks().millisSince(floor.sentAt());
              if (age < MAX_FLOOR_AGE_MILLIS) {
                peers.send(
                    from,
                    new PeerMessage.FloorResponse(request.requestId(), floor.position(), age));
              }
            });
  }

  /**
   * A request that still accepts responses.
   *
   * @param database The database that receives the floors.
   * @param sentAt The clock readings when the request was sent.
   */
  private record PendingRequest(Database database, ClockReading sentAt) {}
}
