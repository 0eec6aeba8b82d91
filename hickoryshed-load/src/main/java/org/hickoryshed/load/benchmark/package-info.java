/** Micro-measurements of decisions and codecs, for the capacity page. */
package org.hickoryshed.load.benchmark;
