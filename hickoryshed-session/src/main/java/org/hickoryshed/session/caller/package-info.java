/**
 * The sessions of callers: each statement is executed at a member of the database, with retries
 * where they are safe, and its response is passed back to the caller.
 */
package org.hickoryshed.session.caller;
