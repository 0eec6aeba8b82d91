/** The duty of replacing a primary that failed or leaves. */
package org.hickoryshed.session.promotion;
