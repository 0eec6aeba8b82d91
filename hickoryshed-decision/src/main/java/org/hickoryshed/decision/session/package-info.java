/** The state by which a caller's reads see its own earlier writes and reads. */
package org.hickoryshed.decision.session;
