/** Suspicion of a primary and the choice of its successor. */
package org.hickoryshed.decision.failover;
