/** Tests of the datagrams between proxies. */
package org.hickoryshed.session.peer;
