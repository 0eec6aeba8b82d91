/** Tests of recorded events and their times. */
package org.hickoryshed.kernel.event;
