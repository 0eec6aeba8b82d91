/** The confirmation of positions by a majority of members. */
package org.hickoryshed.decision.commit;
