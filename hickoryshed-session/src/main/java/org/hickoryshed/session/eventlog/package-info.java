/** The event log of a process, which is written without blocking the threads that log. */
package org.hickoryshed.session.eventlog;
