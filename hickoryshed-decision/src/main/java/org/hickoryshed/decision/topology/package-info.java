/** The members of a database as they report themselves: roles, terms and log positions. */
package org.hickoryshed.decision.topology;
