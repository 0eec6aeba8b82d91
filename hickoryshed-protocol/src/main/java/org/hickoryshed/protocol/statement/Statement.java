package org.hickoryshed.protocol.statement;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * A statement that a database member knows by name.
 *
 * @param name The name of the statement.
 * @param arguments The arguments of the statement, a JSON object.
 */
public record Statement(String name, JsonNode arguments) {}
