/** Structured log lines that never block the data duty. */
package org.hickoryshed.session.eventlog;
