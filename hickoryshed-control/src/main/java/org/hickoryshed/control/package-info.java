/**
 * The operators' command line tool, which reads and edits the tables of routes and pools and shows
 * which revision each proxy uses.
 */
package org.hickoryshed.control;
