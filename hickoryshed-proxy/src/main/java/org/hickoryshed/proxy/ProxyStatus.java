package org.hickoryshed.proxy;

import java.util.List;
import org.hickoryshed.proxy.pooler.PoolerStatus;

/**
 * The status of a proxy as shown to operators.
 *
 * @param name The name of the VM.
 * @param domain The failure domain of the VM.
 * @param incarnation The identifier of this run of the process.
 * @param configurationRevision The revision of the active configuration, zero if there is none.
 * @param vmListRevision The revision of the active VM list, zero if there is none.
 * @param ready {@code true} if the proxy accepts requests.
 * @param poolers The load of each pooler of the process.
 */
public record ProxyStatus(
    String name,
    String domain,
    String incarnation,
    long configurationRevision,
    long vmListRevision,
    boolean ready,
    List<PoolerStatus> poolers) {}
