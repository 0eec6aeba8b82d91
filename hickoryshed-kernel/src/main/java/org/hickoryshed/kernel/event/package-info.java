/** The events that a process records, ordered across processes by hybrid logical time. */
package org.hickoryshed.kernel.event;
