package org.hickoryshed.kernel.service;

/** A component of a process that the {@link Kernel} starts and stops. */
public interface Service {

  /** Starts this service. All services that were registered earlier are already running. */
  void start();

  /** Stops this service. All services that were registered earlier are still running. */
  void stop();
}
