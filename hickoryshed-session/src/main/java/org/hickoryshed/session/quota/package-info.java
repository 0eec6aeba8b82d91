/** Keeps the quotas of workspaces together with the other proxies. */
package org.hickoryshed.session.quota;
