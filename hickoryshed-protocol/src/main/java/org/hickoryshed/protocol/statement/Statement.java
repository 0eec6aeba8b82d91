package org.hickoryshed.protocol.statement;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A statement for a database.
 *
 * @param name The name of the statement.
 * @param arguments The arguments of the statement as a JSON object.
 */
public record Statement(String name, JsonNode arguments) {}
