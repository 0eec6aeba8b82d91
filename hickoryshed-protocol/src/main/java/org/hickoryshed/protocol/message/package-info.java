/** The messages between the system's own processes. */
package org.hickoryshed.protocol.message;
