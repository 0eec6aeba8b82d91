/**
 * Replacement of a primary that failed or is leaving, by promoting another member of its database.
 */
package org.hickoryshed.session.promotion;
