/** Tests of the package of the same name. */
package org.hickoryshed.kernel.worker;
