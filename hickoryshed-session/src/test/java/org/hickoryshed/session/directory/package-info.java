/** Tests of the directory of members that a proxy keeps. */
package org.hickoryshed.session.directory;
