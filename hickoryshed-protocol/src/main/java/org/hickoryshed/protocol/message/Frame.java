package org.hickoryshed.protocol.message;

import org.hickoryshed.kernel.event.HybridTime;

/**
 * A message with what is needed to match responses to requests.
 *
 * @param id The identifier of the request, unique among those of one side of a connection.
 * @param reply {@code true} if the message is the response to the request of this identifier.
 * @param time The hybrid logical time of the sender.
 * @param message The request or response.
 */
public record Frame(long id, boolean reply, HybridTime time, Message message) {}
