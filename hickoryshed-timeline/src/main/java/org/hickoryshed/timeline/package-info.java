/** The time line of events over all processes. */
package org.hickoryshed.timeline;
