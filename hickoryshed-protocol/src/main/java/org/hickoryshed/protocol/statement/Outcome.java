package org.hickoryshed.protocol.statement;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import org.hickoryshed.decision.topology.LogPosition;

/** The outcome of a request, kept through every hop. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Outcome.Done.class, name = "done"),
  @JsonSubTypes.Type(value = Outcome.NotRun.class, name = "not-run"),
  @JsonSubTypes.Type(value = Outcome.Unknown.class, name = "unknown")
})
public sealed interface Outcome {

  /**
   * The request ran and its answer is complete.
   *
   * @param rows The rows of the answer.
   * @param position The position that the answer reflects.
   * @param member The name of the member that answered.
   * @param replica {@code true} if the member answered as a replica.
   */
  record Done(JsonNode rows, LogPosition position, String member, boolean replica)
      implements Outcome {}

  /**
   * The request truly did not run.
   *
   * @param reason The reason.
   * @param detail What is known about the request.
   * @param retryAfterMillis The time in milliseconds after which a retry is promising.
   */
  record NotRun(Reason reason, String detail, long retryAfterMillis) implements Outcome {

    /**
     * Creates an outcome without advice on retries.
     *
     * @param reason The reason.
     * @param detail What is known about the request.
     */
    public NotRun(Reason reason, String detail) {
      this(reason, detail, 0);
    }
  }

  /**
   * The request may have run.
   *
   * @param reason The reason.
   * @param detail What is known about the request.
   */
  record Unknown(Reason reason, String detail) implements Outcome {}
}
