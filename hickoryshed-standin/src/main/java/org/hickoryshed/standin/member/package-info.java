/** A stand-in for a database member: a replicated log with slots and connections. */
package org.hickoryshed.standin.member;
