/** The members of databases, the connections to them and the answers that come back. */
package org.hickoryshed.session.member;
