/** HTTP calls that tell whether a request was sent. */
package org.hickoryshed.client.http;
