/** Recorded events with hybrid logical time. */
package org.hickoryshed.kernel.event;
