/** Divides the connections that a database member accepts among the proxies. */
package org.hickoryshed.decision.sharing;
