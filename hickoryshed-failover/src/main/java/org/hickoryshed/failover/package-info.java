/** The failover process: it watches primaries and promotes successors. */
package org.hickoryshed.failover;
