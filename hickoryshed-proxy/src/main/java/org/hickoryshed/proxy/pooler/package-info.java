/** Connection poolers, which share the connections to each database member among all requests. */
package org.hickoryshed.proxy.pooler;
