/** Tests of session tokens. */
package org.hickoryshed.decision.session;
