package org.hickoryshed.proxy.frontend;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.TransactionId;

/**
 * The body of the answer to a request that is done.
 *
 * @param outcome The outcome.
 * @param rows The rows.
 * @param rowCount The number of rows, which marks the end of the answer.
 * @param member The name of the member that answered.
 * @param replica {@code true} if the member answered as a replica.
 * @param transaction The identifier of the transaction.
 */
record AnswerBody(
    String outcome,
    JsonNode rows,
    int rowCount,
    String member,
    boolean replica,
    Optional<String> transaction) {

  /**
   * Creates a body.
   *
   * @param done The outcome.
   * @param transaction The transaction that the request began or belongs to.
   * @return The body.
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
