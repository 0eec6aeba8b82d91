/** The routes and pools that operators edit, their checks and their adoption. */
package org.hickoryshed.decision.configuration;
