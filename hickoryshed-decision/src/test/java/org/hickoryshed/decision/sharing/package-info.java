/** Tests of the division of connections among proxies. */
package org.hickoryshed.decision.sharing;
