/** The demonstration of the quickstart. */
package org.hickoryshed.load.demonstration;
