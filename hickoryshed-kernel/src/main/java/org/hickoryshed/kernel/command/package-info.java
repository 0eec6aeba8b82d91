/** The command line frame shared by all binaries. */
package org.hickoryshed.kernel.command;
