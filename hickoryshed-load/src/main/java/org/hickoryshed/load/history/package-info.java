/** The check of recorded histories. */
package org.hickoryshed.load.history;
