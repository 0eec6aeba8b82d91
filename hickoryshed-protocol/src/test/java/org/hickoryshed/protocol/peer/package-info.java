/** Tests of the TCP transport between the processes of this system. */
package org.hickoryshed.protocol.peer;
