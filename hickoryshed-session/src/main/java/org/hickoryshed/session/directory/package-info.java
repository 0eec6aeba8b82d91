/** The port through which the desired state and the registered members become known. */
package org.hickoryshed.session.directory;
