/** Clients of the platform: its object store and its list of VMs. */
package org.hickoryshed.client.platform;
