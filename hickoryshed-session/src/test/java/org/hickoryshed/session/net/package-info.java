/** Tests of the event loop. */
package org.hickoryshed.session.net;
