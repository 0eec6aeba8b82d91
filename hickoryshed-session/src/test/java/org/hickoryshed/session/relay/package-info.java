/** Tests of the messages between a proxy that borrows connections and one that lends them. */
package org.hickoryshed.session.relay;
