/** Admission and scheduling of work at one database member. */
package org.hickoryshed.decision.pool;
