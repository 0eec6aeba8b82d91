/**
 * Datagrams between the proxies of one system: heartbeats, which proxies are alive, and short
 * requests such as whether a primary responds.
 */
package org.hickoryshed.session.peer;
