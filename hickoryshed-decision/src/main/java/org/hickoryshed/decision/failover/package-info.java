/** Detection of failed primaries and the promotion of a replica, run by the failover processes. */
package org.hickoryshed.decision.failover;
