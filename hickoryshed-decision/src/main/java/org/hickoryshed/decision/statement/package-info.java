/** The statements of a session, their states and the ways in which they fail. */
package org.hickoryshed.decision.statement;
