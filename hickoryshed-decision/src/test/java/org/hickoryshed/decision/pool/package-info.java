/** Tests of admission control, scheduling and connection pooling. */
package org.hickoryshed.decision.pool;
