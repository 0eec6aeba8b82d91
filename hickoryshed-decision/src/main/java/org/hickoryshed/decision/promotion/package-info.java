/**
 * Detection of a failed primary by the proxies, and the choice of the member that is promoted
 * instead.
 */
package org.hickoryshed.decision.promotion;
