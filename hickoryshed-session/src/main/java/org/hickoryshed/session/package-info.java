/** The server of statement sessions. */
package org.hickoryshed.session;
