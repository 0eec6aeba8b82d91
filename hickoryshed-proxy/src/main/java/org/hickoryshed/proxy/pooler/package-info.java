/** The poolers: one scheduler for all connections to a database member. */
package org.hickoryshed.proxy.pooler;
