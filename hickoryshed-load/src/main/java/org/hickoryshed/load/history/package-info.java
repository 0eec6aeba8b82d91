/** Consistency checks of recorded histories. */
package org.hickoryshed.load.history;
