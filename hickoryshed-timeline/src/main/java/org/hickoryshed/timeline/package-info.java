/** A command line tool that shows the events of all processes in one order. */
package org.hickoryshed.timeline;
