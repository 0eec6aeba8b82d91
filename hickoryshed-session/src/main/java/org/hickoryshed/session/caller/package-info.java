/** The sessions of callers and the way of each statement to a member and back. */
package org.hickoryshed.session.caller;
