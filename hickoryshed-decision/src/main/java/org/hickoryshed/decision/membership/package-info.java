/** Live VMs and the rendezvous choices over them. */
package org.hickoryshed.decision.membership;
