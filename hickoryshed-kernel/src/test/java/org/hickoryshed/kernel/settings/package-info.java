/** Tests of reading and checking settings. */
package org.hickoryshed.kernel.settings;
