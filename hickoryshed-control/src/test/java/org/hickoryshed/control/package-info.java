/** Tests of the operators' command line tool. */
package org.hickoryshed.control;
