/** Tests of the decisions of the package of the same name. */
package org.hickoryshed.decision.promotion;
