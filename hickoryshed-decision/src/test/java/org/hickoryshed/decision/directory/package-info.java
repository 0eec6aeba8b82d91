/** Tests of what the directory orders and compares. */
package org.hickoryshed.decision.directory;
