/** Decides when a majority of members holds a write, and which position a read must reach. */
package org.hickoryshed.decision.commit;
