/** Non-blocking sockets and the event loop that owns all connections of callers and members. */
package org.hickoryshed.session.net;
