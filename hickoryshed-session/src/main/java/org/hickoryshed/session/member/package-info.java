/** Connection pools to the members of databases, and what this process knows of each member. */
package org.hickoryshed.session.member;
