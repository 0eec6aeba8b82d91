/**
 * Workspaces: who may open sessions with which keys, and what happens when a key is withdrawn from
 * a session that is open.
 */
package org.hickoryshed.decision.workspace;
