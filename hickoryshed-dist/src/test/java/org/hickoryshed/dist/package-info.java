/** Tests of the real binaries as processes and of the module architecture. */
package org.hickoryshed.dist;
