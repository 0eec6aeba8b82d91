/** The command line and life cycle that all daemons share. */
package org.hickoryshed.kernel.command;
