/**
 * Connections to members that one proxy lends to another over a TCP link.
 *
 * <p>A proxy borrows a connection where proxies outnumber the connections that a member accepts,
 * and where it does not reach a member itself. A <em>loan</em> is one borrowed connection, from the
 * request for it until its return; the borrowing proxy opens the link and numbers the loans.
 */
package org.hickoryshed.session.relay;
