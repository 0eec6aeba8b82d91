/** Tests of member statuses and log positions. */
package org.hickoryshed.decision.topology;
