/** Tests of the consistency checks of recorded histories. */
package org.hickoryshed.load.history;
