/** The choice of a database and of its members for a request. */
package org.hickoryshed.decision.route;
