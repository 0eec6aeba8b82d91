package org.hickoryshed.proxy.pooler;

import java.util.concurrent.CompletableFuture;
import org.hickoryshed.decision.pool.PoolLimits;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.pool.WorkOutcome;
import org.hickoryshed.protocol.message.Message;

/** An event that the thread of a {@link MemberPooler} handles. */
sealed interface PoolerEvent {

  /**
   * A request arrived.
   *
   * @param work What the scheduler knows of the request.
   * @param request The request to send to the member.
   * @param result Completed with the result of the request.
   */
  record WorkArrived(Work work, Message.Execute request, CompletableFuture<SendResult> result)
      implements PoolerEvent {}

  /**
   * A connection was opened.
   *
   * @param connection The scheduler's identifier of the connection.
   * @param memberConnectionId The member's identifier of the connection.
   */
  record Connected(long connection, String memberConnectionId) implements PoolerEvent {}

  /**
   * A connection could not be opened.
   *
   * @param connection The scheduler's identifier of the connection.
   */
  record ConnectFailed(long connection) implements PoolerEvent {}

  /**
   * Work that was sent to the member ended.
   *
   * @param workId The identifier of the work.
   * @param workOutcome Whether the member answered, refused the work or gave no complete answer.
   */
  record WorkFinished(long workId, WorkOutcome workOutcome) implements PoolerEvent {}

  /**
   * The limits of the pool or the preferred pooler of the member may have changed; sent at each
   * review of the poolers.
   *
   * @param limits The current limits.
   */
  record LimitsUpdated(PoolLimits limits) implements PoolerEvent {}

  /** The pooler is to roll back all transactions, close its idle connections and end its thread. */
  record ShutdownRequested() implements PoolerEvent {}
}
