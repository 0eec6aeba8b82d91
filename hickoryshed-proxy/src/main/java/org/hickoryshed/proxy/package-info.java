/** The binary of the proxy and its assembly. */
package org.hickoryshed.proxy;
