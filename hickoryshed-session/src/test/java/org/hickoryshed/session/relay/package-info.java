/** Tests of the connections that proxies lend to each other. */
package org.hickoryshed.session.relay;
