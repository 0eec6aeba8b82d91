/** What a caller has written and read. */
package org.hickoryshed.decision.session;
