/** Settings that are read from TOML and checked as a whole. */
package org.hickoryshed.kernel.settings;
