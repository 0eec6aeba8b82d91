/** The messages that the processes of this system exchange, and their encoding. */
package org.hickoryshed.protocol.message;
