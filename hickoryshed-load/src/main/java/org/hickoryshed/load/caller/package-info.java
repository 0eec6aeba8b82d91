/** A client of proxies that behaves like an application. */
package org.hickoryshed.load.caller;
