/** Tests of the freshness of reads. */
package org.hickoryshed.decision.freshness;
