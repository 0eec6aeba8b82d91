/** The load and experiment tool. */
package org.hickoryshed.load;
