/** Tests of the confirmation of writes and of read barriers. */
package org.hickoryshed.decision.commit;
