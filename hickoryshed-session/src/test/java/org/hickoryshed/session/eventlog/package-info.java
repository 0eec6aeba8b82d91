/** Tests of the event log. */
package org.hickoryshed.session.eventlog;
