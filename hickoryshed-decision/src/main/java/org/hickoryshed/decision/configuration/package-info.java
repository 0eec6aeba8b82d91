/** The tables of routes and pools that operators edit, their validation and versioning. */
package org.hickoryshed.decision.configuration;
