/** The quotas of workspaces, which count operations over all proxies together. */
package org.hickoryshed.decision.quota;
