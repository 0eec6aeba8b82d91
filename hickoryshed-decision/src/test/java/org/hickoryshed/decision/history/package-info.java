/** Checks of random histories of a replicated group against the decisions. */
package org.hickoryshed.decision.history;
