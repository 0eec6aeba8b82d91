/** Decides how much of the log a database member must hold to serve a read of a given freshness. */
package org.hickoryshed.decision.freshness;
