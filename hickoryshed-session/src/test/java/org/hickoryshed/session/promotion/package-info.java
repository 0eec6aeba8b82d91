/** Tests of how promotions are recorded and requested. */
package org.hickoryshed.session.promotion;
