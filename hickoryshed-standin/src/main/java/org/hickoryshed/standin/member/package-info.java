/** A simulated database member with a replicated log, execution slots and connections. */
package org.hickoryshed.standin.member;
