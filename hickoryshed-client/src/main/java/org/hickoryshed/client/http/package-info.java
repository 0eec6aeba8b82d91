/** An HTTP client whose failures tell whether a request may have been sent. */
package org.hickoryshed.client.http;
