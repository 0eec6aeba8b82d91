package org.hickoryshed.decision.membership;

/**
 * A VM of the platform's list.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param peerAddress The address for the system's own processes.
 * @param failoverAddress The address of the failover process.
 * @param leaving {@code true} if the VM is about to be taken away.
 */
public record Vm(
    String name, String domain, String peerAddress, String failoverAddress, boolean leaving) {}
