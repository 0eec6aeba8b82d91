/** When a primary is replaced, and by which member. */
package org.hickoryshed.decision.promotion;
