package org.hickoryshed.standin.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Objects with versions, conditional updates and watches. */
public final class ObjectStore {

  /** The objects by their names. */
  private final Map<String, StoredObject> objects = new HashMap<>();

  /**
   * Reads an object.
   *
   * @param name The name of the object.
   * @return The object or an empty optional.
   */
  public synchronized Optional<StoredObject> read(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  /**
   * Waits until an object has another version.
   *
   * @param name The name of the object.
   * @param known The version that is known.
   * @param waitMillis The longest time to wait in milliseconds.
   * @return The object or an empty optional if it did not change.
   * @throws InterruptedException If the wait is interrupted.
   */
  public synchronized Optional<StoredObject> watch(String name, long known, long waitMillis)
      throws InterruptedException {
    long end = System.currentTimeMillis() + waitMillis;
    while (version(name) == known) {
      long rest = end - System.currentTimeMillis();
      if (rest <= 0) {
        return Optional.empty();
      }
      wait(rest);
    }
    return read(name);
  }

  /**
   * Writes an object if its version is the expected one.
   *
   * @param name The name of the object.
   * @param expected The expected version, zero for an object that does not exist.
   * @param content The content.
   * @return {@code true} if the object was written.
   */
  public synchronized boolean write(String name, long expected, byte[] content) {
    if (version(name) != expected) {
      return false;
    }
    objects.put(name, new StoredObject(expected + 1, content));
    notifyAll();
    return true;
  }

  /**
   * Returns the version of an object.
   *
   * @param name The name of the object.
   * @return The version, zero if the object does not exist.
   */
  private long version(String name) {
    return read(name).map(StoredObject::version).orElse(0L);
  }

  /**
   * A stored object.
   *
   * @param version The version.
   * @param content The content.
   */
  public record StoredObject(long version, byte[] content) {}
}
