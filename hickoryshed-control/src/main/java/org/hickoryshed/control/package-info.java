/** The operators' tool: it reads and edits the tables and shows what is in force. */
package org.hickoryshed.control;
