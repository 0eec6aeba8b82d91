/** Experiments: open-loop load on real processes with several settings side by side. */
package org.hickoryshed.load.experiment;
