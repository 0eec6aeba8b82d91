/** Tests of how VMs divide tasks. */
package org.hickoryshed.decision.membership;
