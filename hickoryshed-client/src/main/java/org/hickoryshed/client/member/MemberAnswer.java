package org.hickoryshed.client.member;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.protocol.statement.Reason;

/**
 * The response of a database member to a {@link MemberRequest}.
 *
 * @param refusal The reason why nothing ran, or empty if the request ran.
 * @param rows The rows as a JSON array.
 * @param rowCount The number of rows; a response with fewer or more rows was cut off.
 * @param position The log position that the response reflects.
 * @param status The status of the member.
 */
public record MemberAnswer(
    Optional<Reason> refusal,
    JsonNode rows,
    int rowCount,
    LogPosition position,
    MemberStatus status) {}
