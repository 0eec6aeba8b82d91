/** Members of databases and what is known of their logs. */
package org.hickoryshed.decision.topology;
