/**
 * The active configuration and VM list of a proxy, and their updates from the platform and from
 * peers.
 */
package org.hickoryshed.proxy.document;
