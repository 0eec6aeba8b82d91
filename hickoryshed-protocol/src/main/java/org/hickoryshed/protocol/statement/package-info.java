/** Statements and their outcomes. */
package org.hickoryshed.protocol.statement;
