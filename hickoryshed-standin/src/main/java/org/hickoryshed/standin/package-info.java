/** Stand-ins for database members and the platform, which run as processes. */
package org.hickoryshed.standin;
