/** Tests of the JSON reader and its filter. */
package org.hickoryshed.kernel.json;
