package org.hickoryshed.protocol.statement;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.databind.JsonNode;
import org.hickoryshed.decision.topology.LogPosition;

/**
 * The outcome of a request. Every process that forwards it keeps apart what ran, what definitely
 * did not run, and what may have run.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
@JsonSubTypes({
  @JsonSubTypes.Type(value = Outcome.Done.class, name = "done"),
  @JsonSubTypes.Type(value = Outcome.NotRun.class, name = "not-run"),
  @JsonSubTypes.Type(value = Outcome.Unknown.class, name = "unknown")
})
public sealed interface Outcome {

  /**
   * The request ran and its response is complete.
   *
   * @param rows The rows that the statement returned, as a JSON array.
   * @param position The log position that the response reflects.
   * @param member The name of the member that answered.
   * @param replica {@code true} if the member answered as a replica.
   */
  record Done(JsonNode rows, LogPosition position, String member, boolean replica)
      implements Outcome {}

  /**
   * The request definitely did not run or had no effect.
   *
   * @param reason The reason.
   * @param detail Details for the caller.
   * @param retryAfterMillis The time in milliseconds after which a retry is likely to succeed, or
   *     zero if that is not known.
   */
  record NotRun(Reason reason, String detail, long retryAfterMillis) implements Outcome {

    /**
     * Creates an outcome without a time for retries.
     *
     * @param reason The reason.
     * @param detail Details for the caller.
     */
    public NotRun(Reason reason, String detail) {
      this(reason, detail, 0);
    }
  }

  /**
   * The request may have run.
   *
   * @param reason The reason.
   * @param detail Details for the caller.
   */
  record Unknown(Reason reason, String detail) implements Outcome {}
}
