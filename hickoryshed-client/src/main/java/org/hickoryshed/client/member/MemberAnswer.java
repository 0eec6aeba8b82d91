package org.hickoryshed.client.member;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.protocol.statement.Reason;

/**
 * The answer of a database member to a request on a connection.
 *
 * @param refusal The reason why nothing ran, if nothing ran.
 * @param rows The rows.
 * @param rowCount The number of rows, which marks the end of the answer.
 * @param position The position that the answer reflects.
 * @param status The status of the member.
 */
public record MemberAnswer(
    Optional<Reason> refusal,
    JsonNode rows,
    int rowCount,
    LogPosition position,
    MemberStatus status) {}
