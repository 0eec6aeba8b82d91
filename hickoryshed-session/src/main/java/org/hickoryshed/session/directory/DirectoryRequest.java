package org.hickoryshed.session.directory;

/**
 * Asks another proxy for what it knows beyond the versions that are known here.
 *
 * @param desiredVersion The version of the desired state in force here.
 * @param memberVersion The version of the members known here.
 */
public record DirectoryRequest(long desiredVersion, long memberVersion) {}
