/** Settings of a process, read from a TOML file and checked as a whole. */
package org.hickoryshed.kernel.settings;
