/**
 * The messages that are exchanged with callers and members, and the interface of the protocol that
 * encodes them. The module of the platform implements that interface.
 */
package org.hickoryshed.session.wire;
