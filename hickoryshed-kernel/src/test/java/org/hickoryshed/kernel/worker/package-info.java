/** Tests of the threads for background work. */
package org.hickoryshed.kernel.worker;
