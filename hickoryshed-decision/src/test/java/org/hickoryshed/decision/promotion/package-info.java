/** Tests of failure detection by the proxies. */
package org.hickoryshed.decision.promotion;
