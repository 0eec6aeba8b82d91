/** Prometheus metrics of a process. */
package org.hickoryshed.kernel.metric;
