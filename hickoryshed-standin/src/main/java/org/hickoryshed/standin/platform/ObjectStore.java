package org.hickoryshed.standin.platform;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** An in-memory object store with versions, conditional writes and watches. Thread-safe. */
public final class ObjectStore {

  private final Map<String, StoredObject> objects = new HashMap<>();

  /**
   * Reads an object.
   *
   * @param name The name of the object.
   * @return The object, empty if it does not exist.
   */
  public synchronized Optional<StoredObject> read(String name) {
    return Optional.ofNullable(objects.get(name));
  }

  /**
   * Waits until the version of an object differs from the known one.
   *
   * @param name The name of the object.
   * @param known The known version, zero for an object that does not exist.
   * @param waitMillis The longest time to wait in milliseconds.
   * @return The object, empty if it did not change in time.
   * @throws InterruptedException If the wait is interrupted.
   */
  public synchronized Optional<StoredObject> watch(String name, long known, long waitMillis)
      throws InterruptedException {
    long end = System.currentTimeMillis() + waitMillis;
    while (version(name) == known) {
      long remaining = end - System.currentTimeMillis();
      if (remaining <= 0) {
        return Optional.empty();
      }
      wait(remaining);
    }
    return read(name);
  }

  /**
   * Writes an object if its current version is the expected one, and increments the version.
   *
   * @param name The name of the object.
   * @param expected The expected version, zero for an object that does not exist.
   * @param content The new content.
   * @return {@code true} if the object was written, {@code false} if its version differs.
   */
  public synchronized boolean write(String name, long expected, byte[] content) {
    if (version(name) != expected) {
      return false;
    }
    objects.put(name, new StoredObject(expected + 1, content));
    notifyAll();
    return true;
  }

  private long version(String name) {
    return read(name).map(StoredObject::version).orElse(0L);
  }

  /**
   * A version of an object.
   *
   * @param version The version, starting at one.
   * @param content The content, not copied.
   */
  public record StoredObject(long version, byte[] content) {}
}
