/** Tests of the operators' tool. */
package org.hickoryshed.control;
