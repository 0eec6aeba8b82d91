/** The binary that runs stand-ins as processes. */
package org.hickoryshed.standin;
