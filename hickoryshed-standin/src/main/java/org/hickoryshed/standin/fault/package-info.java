/** Fault injection for stand-ins. */
package org.hickoryshed.standin.fault;
