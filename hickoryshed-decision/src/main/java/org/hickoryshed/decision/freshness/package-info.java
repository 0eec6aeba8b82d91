/** Which log of a database is fresh enough for a read. */
package org.hickoryshed.decision.freshness;
