package org.hickoryshed.kernel.service;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Registers the services of a process by name, starts them in order of registration and stops them
 * in reverse order.
 *
 * <p>Each service is therefore started after the services that it uses and stopped before them.
 */
public final class Kernel {

  /** In order of registration. */
  private final Map<String, Object> services = new LinkedHashMap<>();

  /** In order of their start. */
  private final List<Service> running = new ArrayList<>();

  /**
   * Registers a service.
   *
   * @param name The name of the service, unique in this kernel.
   * @param service The service. It is started and stopped with the kernel if it is a {@link
   *     Service}; other objects are only found by name.
   * @param <T> The type of the service.
   * @return The service that was registered.
   * @throws IllegalStateException If the name is already registered.
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
   * @throws IllegalStateException If no service has this name.
   * @throws ClassCastException If the service is of another type.
   */
  public synchronized <T> T service(String name, Class<T> type) {
    Object service = services.get(name);
    if (service == null) {
      throw new IllegalStateException("no service is named " + name);
    }
    return type.cast(service);
  }

  /**
   * Starts all services in order of registration. An exception of a service ends the start;
   * services that were started before it keep running until {@link #stop}.
   */
  public synchronized void start() {
    for (Object service : services.values()) {
      if (service instanceof Service startable) {
        startable.start();
        running.add(startable);
      }
    }
  }

  /** Stops all running services in reverse order of registration. */
  public synchronized void stop() {
    for (Service service : running.reversed()) {
      service.stop();
    }
    running.clear();
  }
}
