/** Tests of the messages between the processes of this system. */
package org.hickoryshed.protocol.message;
