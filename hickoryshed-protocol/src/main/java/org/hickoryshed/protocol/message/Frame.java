package org.hickoryshed.protocol.message;

import org.hickoryshed.kernel.event.HybridTime;

/**
 * A message with what correlates it.
 *
 * @param id The identifier of the request, unique on its connection.
 * @param reply {@code true} if the message answers the request.
 * @param time The hybrid logical time of the sender.
 * @param message The message.
 */
public record Frame(long id, boolean reply, HybridTime time, Message message) {}
