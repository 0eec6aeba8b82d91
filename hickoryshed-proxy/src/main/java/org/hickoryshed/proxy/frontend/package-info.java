/** The HTTP API for callers and the forwarding of their requests to poolers. */
package org.hickoryshed.proxy.frontend;
