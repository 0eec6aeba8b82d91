/** The JSON conventions shared by all processes. */
package org.hickoryshed.kernel.json;
