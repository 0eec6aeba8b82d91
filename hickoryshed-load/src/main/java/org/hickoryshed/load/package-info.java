/** The load tool: demonstration, experiments and microbenchmarks. */
package org.hickoryshed.load;
