/** Microbenchmarks of decisions and codecs, for capacity planning. */
package org.hickoryshed.load.benchmark;
