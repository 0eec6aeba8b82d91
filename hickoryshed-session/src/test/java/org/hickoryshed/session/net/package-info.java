/** Tests of the event loop and its sockets. */
package org.hickoryshed.session.net;
