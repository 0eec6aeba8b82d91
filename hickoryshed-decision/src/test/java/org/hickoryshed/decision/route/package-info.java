/** Tests of request routing. */
package org.hickoryshed.decision.route;
