package org.hickoryshed.proxy.frontend;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.TransactionId;

/**
 * The JSON body of the response to a request that is done.
 *
 * @param outcome Always {@code done}.
 * @param rows The rows that the statement returned.
 * @param rowCount The number of rows, by which a reader detects a response that is cut off.
 * @param member The name of the member that answered.
 * @param replica {@code true} if the member answered as a replica.
 * @param transaction The identifier of the transaction that the request began or belongs to.
 */
record AnswerBody(
    String outcome,
    JsonNode rows,
    int rowCount,
    String member,
    boolean replica,
    Optional<String> transaction) {

  /**
   * Creates the body of a completed request.
   *
   * @param done The outcome of the request.
   * @param transaction The transaction that the request began or belongs to, if any.
   */
  static AnswerBody of(Outcome.Done done, Optional<TransactionId> transaction) {
    return new AnswerBody(
        "done",
        done.rows(),
        done.rows().size(),
        done.member(),
        done.replica(),
        transaction.map(TransactionId::text));
  }
}
