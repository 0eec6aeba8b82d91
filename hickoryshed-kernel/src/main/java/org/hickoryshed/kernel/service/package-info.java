/** The service registry of a process: services are found by name, started and stopped together. */
package org.hickoryshed.kernel.service;
