package org.hickoryshed.decision.membership;

/**
 * A VM of the platform's list.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param peerAddress The address at which its proxy listens for other processes of the system.
 * @param failoverAddress The address at which its failover process listens.
 * @param leaving {@code true} if the platform is about to remove the VM.
 */
public record Vm(
    String name, String domain, String peerAddress, String failoverAddress, boolean leaving) {}
