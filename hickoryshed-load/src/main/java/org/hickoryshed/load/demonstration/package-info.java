/** The demonstration that the quickstart runs. */
package org.hickoryshed.load.demonstration;
