/** Routing of requests: which database and member serve a request, and when it may be retried. */
package org.hickoryshed.decision.route;
