/** Threads for background work: a worker with a bounded queue and a periodic task. */
package org.hickoryshed.kernel.worker;
