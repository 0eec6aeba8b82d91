/** HTTP plumbing shared by all processes: request bodies, answers and the admin port. */
package org.hickoryshed.kernel.http;
