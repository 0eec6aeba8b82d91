/** The clients of the platform's store and VM list. */
package org.hickoryshed.client.platform;
