/** Faults that are switched on in stand-ins. */
package org.hickoryshed.standin.fault;
