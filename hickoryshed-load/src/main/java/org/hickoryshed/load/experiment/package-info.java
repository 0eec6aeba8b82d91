/** Experiments: open-loop load on a running cluster, to compare variants of the configuration. */
package org.hickoryshed.load.experiment;
