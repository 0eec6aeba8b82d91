package org.hickoryshed.kernel.service;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A registry of named services that starts them in order and stops them in reverse order. */
public final class Kernel {

  /** The registered services by their names, in order of registration. */
  private final Map<String, Object> services = new LinkedHashMap<>();

  /** The services that were started. */
  private final List<Service> running = new ArrayList<>();

  /**
   * Registers a service.
   *
   * @param name The name of the service.
   * @param service The service, started with the kernel if it is a {@link Service}.
   * @param <T> The type of the service.
   * @return The service that was registered.
   */
  public synchronized <T> T register(String name, T service) {
    if (services.putIfAbsent(name, service) != null) {
      throw new IllegalStateException("a service named " + name + " is already registered");
    }
    return service;
  }

  /**
   * Returns a service by its name.
   *
   * @param name The name of the service.
   * @param type The expected type of the service.
   * @param <T> The expected type of the service.
   * @return The service.
   */
  public synchronized <T> T service(String name, Class<T> type) {
    Object service = services.get(name);
    if (service == null) {
      throw new IllegalStateException("no service is named " + name);
    }
    return type.cast(service);
  }

  /** Starts all services in order of their registration. */
  public synchronized void start() {
    for (Object service : services.values()) {
      if (service instanceof Service startable) {
        startable.start();
        running.add(startable);
      }
    }
  }

  /** Stops all running services in reverse order of their registration. */
  public synchronized void stop() {
    for (Service service : running.reversed()) {
      service.stop();
    }
    running.clear();
  }
}
