/** Tests of the settings of a process that serves sessions. */
package org.hickoryshed.session;
