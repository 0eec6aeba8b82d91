/** The directory that proxies keep: the routes and pools in force and the registered members. */
package org.hickoryshed.decision.directory;
