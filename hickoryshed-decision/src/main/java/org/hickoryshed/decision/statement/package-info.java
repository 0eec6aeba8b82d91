/** The statements of a session, the state of its transaction, and the ways in which it fails. */
package org.hickoryshed.decision.statement;
