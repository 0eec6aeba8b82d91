/** Tests of the check of recorded histories. */
package org.hickoryshed.load.history;
