/** The failover process, which detects failed primaries and promotes successors. */
package org.hickoryshed.failover;
