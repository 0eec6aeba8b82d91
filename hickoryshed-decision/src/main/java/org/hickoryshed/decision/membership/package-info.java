/**
 * The VMs that run the system, and how they divide tasks among each other by rendezvous hashing.
 */
package org.hickoryshed.decision.membership;
