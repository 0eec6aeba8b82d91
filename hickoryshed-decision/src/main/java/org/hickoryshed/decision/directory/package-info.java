/** The desired state of the routes and the registered members of the databases. */
package org.hickoryshed.decision.directory;
