/** What the operating system grants to this process, and how the process ends. */
package org.hickoryshed.kernel.process;
