/** The entry: requests of callers and their way to a pooler. */
package org.hickoryshed.proxy.frontend;
