/** Statements, their outcomes, and the identifiers and tokens that callers get. */
package org.hickoryshed.protocol.statement;
