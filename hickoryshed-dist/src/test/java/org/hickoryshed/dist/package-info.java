/** Tests of the real binaries as processes, and of the architecture. */
package org.hickoryshed.dist;
