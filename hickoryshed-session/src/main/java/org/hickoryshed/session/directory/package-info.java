/**
 * How the directory, which is the desired state and the registered members, reaches a proxy: from
 * the store through {@link org.hickoryshed.session.directory.DirectoryListener}, and from other
 * proxies.
 */
package org.hickoryshed.session.directory;
