/** Tests of failure detection and promotion. */
package org.hickoryshed.decision.failover;
