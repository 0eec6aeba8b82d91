package org.hickoryshed.proxy.pooler;

import java.util.concurrent.CompletableFuture;
import org.hickoryshed.decision.pool.PoolLimits;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.pool.WorkOutcome;
import org.hickoryshed.protocol.message.Message;

/** An event for the thread of a pooler. */
sealed interface PoolerEvent {

  /**
   * Work arrived.
   *
   * @param work The work.
   * @param request The request.
   * @param answer The future to complete with what came back.
   */
  record Arrived(Work work, Message.Execute request, CompletableFuture<SendResult> answer)
      implements PoolerEvent {}

  /**
   * A connection was opened.
   *
   * @param connection The identifier of the connection at the scheduler.
   * @param identifier The identifier of the connection at the member.
   */
  record Connected(long connection, String identifier) implements PoolerEvent {}

  /**
   * A connection could not be opened.
   *
   * @param connection The identifier of the connection at the scheduler.
   */
  record ConnectFailed(long connection) implements PoolerEvent {}

  /**
   * Work that ran ended.
   *
   * @param work The identifier of the work.
   * @param end How the work ended.
   */
  record Finished(long work, WorkOutcome end) implements PoolerEvent {}

  /**
   * The limits changed.
   *
   * @param limits The limits.
   */
  record Limited(PoolLimits limits) implements PoolerEvent {}

  /** The pooler is shutting down. */
  record ShutDown() implements PoolerEvent {}
}
