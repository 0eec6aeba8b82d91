/**
 * The HTTP server that all processes share: requests, responses, problem details and the admin
 * port.
 */
package org.hickoryshed.kernel.http;
