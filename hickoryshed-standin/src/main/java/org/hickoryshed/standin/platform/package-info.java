/** A simulated platform: the object store and the VM list. */
package org.hickoryshed.standin.platform;
