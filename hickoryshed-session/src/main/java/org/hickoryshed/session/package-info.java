/**
 * The server that accepts the sessions of callers, its settings and the graceful shutdown of the
 * process.
 */
package org.hickoryshed.session;
