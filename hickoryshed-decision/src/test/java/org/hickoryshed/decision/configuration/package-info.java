/** Tests of the routes and pools. */
package org.hickoryshed.decision.configuration;
