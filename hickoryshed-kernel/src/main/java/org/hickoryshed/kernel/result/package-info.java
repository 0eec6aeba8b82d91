/** Results of operations whose failures are values instead of exceptions. */
package org.hickoryshed.kernel.result;
