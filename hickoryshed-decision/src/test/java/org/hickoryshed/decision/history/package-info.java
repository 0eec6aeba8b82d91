/** Randomized simulations that check the decisions about commits, reads and failover together. */
package org.hickoryshed.decision.history;
