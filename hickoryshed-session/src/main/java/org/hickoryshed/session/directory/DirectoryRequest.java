package org.hickoryshed.session.directory;

/**
 * Requests what another proxy knows beyond the given versions.
 *
 * @param desiredVersion The version of the desired state in force at the requesting proxy, zero if
 *     it has none.
 * @param memberVersion The version of the members that the requesting proxy knows.
 */
public record DirectoryRequest(long desiredVersion, long memberVersion) {}
