package org.hickoryshed.proxy;

import java.util.List;
import org.hickoryshed.proxy.pooler.PoolerStatus;

/**
 * The status of a proxy for operators.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param incarnation The run of the process.
 * @param configurationRevision The revision of the configuration in force.
 * @param vmListRevision The revision of the VM list in force.
 * @param ready {@code true} if the proxy accepts requests.
 * @param poolers The poolers of the process.
 */
public record ProxyStatus(
    String name,
    String domain,
    String incarnation,
    long configurationRevision,
    long vmListRevision,
    boolean ready,
    List<PoolerStatus> poolers) {}
