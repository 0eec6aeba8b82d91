/** Reading and writing JSON with the settings that all processes share. */
package org.hickoryshed.kernel.json;
