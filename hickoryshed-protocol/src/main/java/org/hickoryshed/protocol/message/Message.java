package org.hickoryshed.protocol.message;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import java.util.Optional;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Statement;
import org.hickoryshed.protocol.statement.TransactionId;

/**
 * A request or response between processes of this system. The type names and components are written
 * to the wire.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Message.Execute.class, name = "execute"),
  @JsonSubTypes.Type(value = Message.Executed.class, name = "executed"),
  @JsonSubTypes.Type(value = Message.AskBarrier.class, name = "ask-barrier"),
  @JsonSubTypes.Type(value = Message.Barrier.class, name = "barrier"),
  @JsonSubTypes.Type(value = Message.AskStatus.class, name = "ask-status"),
  @JsonSubTypes.Type(value = Message.Status.class, name = "status"),
  @JsonSubTypes.Type(value = Message.AskDocuments.class, name = "ask-documents"),
  @JsonSubTypes.Type(value = Message.Documents.class, name = "documents"),
  @JsonSubTypes.Type(value = Message.AskWitness.class, name = "ask-witness"),
  @JsonSubTypes.Type(value = Message.Witness.class, name = "witness"),
  @JsonSubTypes.Type(value = Message.Heartbeat.class, name = "heartbeat"),
  @JsonSubTypes.Type(value = Message.Unsupported.class, name = "unsupported")
})
public sealed interface Message {

  /**
   * Requests that a pooler runs a statement, begins or ends a transaction, or cancels an
   * idempotency key. The response is {@link Executed}.
   *
   * @param database The name of the database.
   * @param member The name of the member.
   * @param label The route and statement name by which the scheduler estimates costs.
   * @param kind The kind of the work, by which the scheduler also orders it.
   * @param statement The statement, empty to begin or end a transaction and to cancel a key.
   * @param floor The log position that the member must have applied before it serves a read.
   * @param key The idempotency key, if any.
   * @param transaction The open transaction, empty outside a transaction and to begin one.
   * @param commit {@code true} if the end of a transaction is a commit.
   * @param priority The priority, the lowest number first.
   * @param timeoutMillis The time in milliseconds after which the requester stops waiting.
   */
  record Execute(
      String database,
      String member,
      String label,
      Work.Kind kind,
      Optional<Statement> statement,
      LogPosition floor,
      Optional<String> key,
      Optional<TransactionId> transaction,
      boolean commit,
      int priority,
      long timeoutMillis)
      implements Message {}

  /**
   * The response to {@link Execute}.
   *
   * @param outcome The outcome of the request.
   * @param status The latest status of the member, if it is known.
   * @param transaction The transaction, if one was begun.
   */
  record Executed(
      Outcome outcome, Optional<MemberStatus> status, Optional<TransactionId> transaction)
      implements Message {

    /**
     * Creates a response that begins no transaction.
     *
     * @param outcome The outcome of the request.
     * @param status The latest status of the member, if it is known.
     */
    public Executed(Outcome outcome, Optional<MemberStatus> status) {
      this(outcome, status, Optional.empty());
    }
  }

  /**
   * Requests a read barrier: a log position that covers all writes acknowledged so far. The
   * response is {@link Barrier}.
   *
   * @param database The name of the database.
   * @param timeoutMillis The time in milliseconds after which the requester stops waiting.
   */
  record AskBarrier(String database, long timeoutMillis) implements Message {}

  /**
   * The response to {@link AskBarrier}.
   *
   * @param position The position or an empty optional if none could be proved in time.
   */
  record Barrier(Optional<LogPosition> position) implements Message {}

  /**
   * Requests the status of a member from its pooler. The response is {@link Status}.
   *
   * @param database The name of the database.
   * @param member The name of the member.
   */
  record AskStatus(String database, String member) implements Message {}

  /**
   * The response to {@link AskStatus}.
   *
   * @param status The status or an empty optional if the member is not configured or does not
   *     answer.
   */
  record Status(Optional<MemberStatus> status) implements Message {}

  /**
   * Requests the configuration and the VM list if the peer has newer revisions. The response is
   * {@link Documents}.
   *
   * @param configuration The revision of the configuration that is active in the requesting
   *     process.
   * @param vmList The revision of the VM list that is active in the requesting process.
   */
  record AskDocuments(long configuration, long vmList) implements Message {}

  /**
   * The response to {@link AskDocuments}.
   *
   * @param configuration The configuration, empty if its revision is not higher.
   * @param vmList The VM list, empty if its revision is not higher.
   */
  record Documents(Optional<Configuration> configuration, Optional<VmList> vmList)
      implements Message {}

  /**
   * Requests from a failover process of another failure domain whether it reaches a primary. The
   * response is {@link Witness}.
   *
   * @param database The name of the database.
   * @param member The name of the primary.
   */
  record AskWitness(String database, String member) implements Message {}

  /**
   * The response to {@link AskWitness}.
   *
   * @param domain The failure domain of the process that responds.
   * @param reaches {@code true} if that process reaches the primary.
   */
  record Witness(String domain, boolean reaches) implements Message {}

  /** A heartbeat. The peer responds with the same message. */
  record Heartbeat() implements Message {}

  /**
   * The response to a message that the process does not support.
   *
   * @param detail The type of the message that was not supported.
   */
  record Unsupported(String detail) implements Message {}
}
