/** A stand-in for the platform: the object store and the VM list. */
package org.hickoryshed.standin.platform;
