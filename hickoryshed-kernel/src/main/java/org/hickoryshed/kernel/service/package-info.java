/** The micro-kernel: services that are found by name and share one life cycle. */
package org.hickoryshed.kernel.service;
