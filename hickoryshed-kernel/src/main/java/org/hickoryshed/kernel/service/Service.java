package org.hickoryshed.kernel.service;

/** A service that is started and stopped by the kernel. */
public interface Service {

  /** Starts this service. All services that were registered earlier are running. */
  void start();

  /** Stops this service. All services that were registered earlier are still running. */
  void stop();
}
