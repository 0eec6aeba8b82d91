/** The TCP transport by which the processes of this system send requests to each other. */
package org.hickoryshed.protocol.peer;
