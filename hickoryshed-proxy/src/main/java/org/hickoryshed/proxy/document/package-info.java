/** The configuration and the VM list in force, and how they arrive. */
package org.hickoryshed.proxy.document;
