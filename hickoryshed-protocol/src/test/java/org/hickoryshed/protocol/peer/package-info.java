/** Tests of the connections between the system's own processes. */
package org.hickoryshed.protocol.peer;
