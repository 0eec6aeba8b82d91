/** The main class of the proxy and the assembly of its services. */
package org.hickoryshed.proxy;
