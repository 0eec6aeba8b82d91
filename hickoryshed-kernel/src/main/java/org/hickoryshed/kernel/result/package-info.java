/** Typed results of operations that may fail. */
package org.hickoryshed.kernel.result;
