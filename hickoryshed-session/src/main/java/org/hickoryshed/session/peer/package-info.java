/** The exchange between the proxies of one system: who is there and what each one reaches. */
package org.hickoryshed.session.peer;
