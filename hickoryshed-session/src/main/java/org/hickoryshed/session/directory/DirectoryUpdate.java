package org.hickoryshed.session.directory;

import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberList;

/**
 * What a proxy knows beyond the versions in a {@link DirectoryRequest}.
 *
 * @param desired The desired state, empty if it is not newer.
 * @param members The members, empty if they are not newer.
 * @param proxies The addresses of the proxies that are alive by their names, if the requesting
 *     proxy just started; else empty.
 */
public record DirectoryUpdate(
    Optional<DesiredState> desired, Optional<MemberList> members, Map<String, String> proxies) {}
