/** Tests of the HTTP server of a process. */
package org.hickoryshed.kernel.http;
