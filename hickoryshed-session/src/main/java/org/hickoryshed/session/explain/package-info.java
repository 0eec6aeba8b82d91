/** Explains to operators where statements would go now, without sending any. */
package org.hickoryshed.session.explain;
