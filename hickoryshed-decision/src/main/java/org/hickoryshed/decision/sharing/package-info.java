/** How the proxies share the connections of a member. */
package org.hickoryshed.decision.sharing;
