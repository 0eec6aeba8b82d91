/** The messages between callers, this proxy and members, and the port of their format. */
package org.hickoryshed.session.wire;
