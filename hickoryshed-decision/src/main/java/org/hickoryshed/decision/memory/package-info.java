/** Divides the memory of a process among those that make it hold data. */
package org.hickoryshed.decision.memory;
