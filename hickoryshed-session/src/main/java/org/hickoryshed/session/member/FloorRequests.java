package org.hickoryshed.session.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.hickoryshed.session.net.EventLoop;

/**
 * Requests fresh floors of one database and runs the reads that wait for them.
 *
 * <p>All waiting reads share one empty transaction at the primary, which takes none of its
 * statement slots. A floor is also requested from other proxies if no connection to the primary is
 * idle.
 *
 * <p>Confined to the thread of the event loop.
 */
final class FloorRequests {

  /** How long reads wait for a fresh floor, in milliseconds. */
  private static final long TIMEOUT_MILLIS = 120;

  private final EventLoop loop;

  private final Database database;

  /** Requests a floor of a database from other proxies. */
  private final Consumer<Database> peerFloorRequests;

  private final List<Runnable> waiting = new ArrayList<>();

  /** True while a request for the primary's log position is outstanding. */
  private boolean positionRequested;

  FloorRequests(EventLoop loop, Database database, Consumer<Database> peerFloorRequests) {
    this.loop = loop;
    this.database = database;
    this.peerFloorRequests = peerFloorRequests;
  }

  /** Requests a floor and runs an action when it arrives, or after the timeout. */
  void await(Runnable action) {
    waiting.add(action);
    if (positionRequested) {
      return;
    }
    Optional<MemberConnectionPool> primary =
        database.primary().filter(MemberConnectionPool::isReachable);
    if (primary.isEmpty() || primary.get().counts().idle() == 0) {
      peerFloorRequests.accept(database);
    }
    if (primary.isPresent()) {
      positionRequested = true;
      primary
          .get()
          .requests()
          .requestPosition(TIMEOUT_MILLIS, response -> onPrimaryResponse(primary.get(), response));
    } else {
      loop.schedule(TIMEOUT_MILLIS, this::runWaiting);
    }
  }

  /** Runs the waiting actions, which check themselves whether there is a floor now. */
  void runWaiting() {
    List<Runnable> actions = List.copyOf(waiting);
    waiting.clear();
    actions.forEach(Runnable::run);
  }

  /**
   * Handles the primary's response to the request for its log position.
   *
   * @param primary The primary.
   * @param response Empty after a timeout.
   */
  private void onPrimaryResponse(MemberConnectionPool primary, Optional<MemberResponse> response) {
    positionRequested = false;
    if (response.isPresent() && response.get() instanceof MemberResponse.Done done) {
      done.position().ifPresent(position -> database.addFloor(primary, done.sentAt(), position));
    }
    runWaiting();
  }
}
