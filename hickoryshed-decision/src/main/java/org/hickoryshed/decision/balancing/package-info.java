/** Chooses the member that serves a read so that the load of the members stays even. */
package org.hickoryshed.decision.balancing;
