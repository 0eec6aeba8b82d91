/** Threads that each carry one duty and are joined by bounded rings. */
package org.hickoryshed.kernel.worker;
