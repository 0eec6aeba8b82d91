/** A caller of proxies, as an application would be. */
package org.hickoryshed.load.caller;
