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

/** A message between the system's own processes. */
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
   * Asks a pooler to run a statement.
   *
   * @param database The name of the database.
   * @param member The name of the member.
   * @param label The route and statement by which costs are learnt.
   * @param kind The kind of the work.
   * @param statement The statement, empty to begin or end a transaction and to cancel a key.
   * @param floor The position that the member must have applied.
   * @param key The idempotency key.
   * @param transaction The transaction, unless the statement stands alone or begins one.
   * @param commit {@code true} if the end of a transaction is a commit.
   * @param priority The priority, the lowest number first.
   * @param timeoutMillis The time in milliseconds after which nobody waits for the answer.
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
   * Answers a statement.
   *
   * @param outcome The outcome.
   * @param status The latest status of the member.
   * @param transaction The transaction that was begun.
   */
  record Executed(
      Outcome outcome, Optional<MemberStatus> status, Optional<TransactionId> transaction)
      implements Message {

    /**
     * Creates an answer that begins no transaction.
     *
     * @param outcome The outcome.
     * @param status The latest status of the member.
     */
    public Executed(Outcome outcome, Optional<MemberStatus> status) {
      this(outcome, status, Optional.empty());
    }
  }

  /**
   * Asks a pooler for a barrier that covers all writes acknowledged so far.
   *
   * @param database The name of the database.
   * @param timeoutMillis The time in milliseconds after which nobody waits for the answer.
   */
  record AskBarrier(String database, long timeoutMillis) implements Message {}

  /**
   * Answers with a barrier.
   *
   * @param position The position or an empty optional if none could be proved.
   */
  record Barrier(Optional<LogPosition> position) implements Message {}

  /**
   * Asks a pooler for the status of a member.
   *
   * @param database The name of the database.
   * @param member The name of the member.
   */
  record AskStatus(String database, String member) implements Message {}

  /**
   * Answers with the status of a member.
   *
   * @param status The status or an empty optional if the member does not answer.
   */
  record Status(Optional<MemberStatus> status) implements Message {}

  /**
   * Asks a peer for documents of higher revisions.
   *
   * @param configuration The revision of the configuration that the asking process has in force.
   * @param vmList The revision of the VM list that the asking process has in force.
   */
  record AskDocuments(long configuration, long vmList) implements Message {}

  /**
   * Answers with documents of higher revisions.
   *
   * @param configuration The configuration if its revision is higher.
   * @param vmList The VM list if its revision is higher.
   */
  record Documents(Optional<Configuration> configuration, Optional<VmList> vmList)
      implements Message {}

  /**
   * Asks a failover process of another failure domain whether it reaches a primary.
   *
   * @param database The name of the database.
   * @param member The name of the primary.
   */
  record AskWitness(String database, String member) implements Message {}

  /**
   * Answers whether a primary is reached.
   *
   * @param domain The failure domain of the witness.
   * @param reaches {@code true} if the primary is reached.
   */
  record Witness(String domain, boolean reaches) implements Message {}

  /** Asks a peer whether it runs, and answers that it does. */
  record Heartbeat() implements Message {}

  /**
   * Answers that a message is not supported by the process that was asked.
   *
   * @param detail What was not supported.
   */
  record Unsupported(String detail) implements Message {}
}
