/**
 * Connections to members that one proxy lends to others: where proxies outnumber the connections of
 * a member, and where a proxy does not reach a member itself.
 */
package org.hickoryshed.session.relay;
