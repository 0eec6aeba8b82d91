package org.hickoryshed.session.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A growing buffer of bytes to send. */
public final class OutputBuffer {

  /** The size of a new buffer in bytes. */
  private static final int INITIAL_SIZE = 512;

  /** The bytes. */
  private byte[] bytes = new byte[INITIAL_SIZE];

  /** The index of the first byte that is not yet taken. */
  private int start;

  /** The index after the last byte. */
  private int end;

  /**
   * Appends bytes.
   *
   * @param added The bytes.
   * @return This buffer.
   */
  public OutputBuffer append(byte[] added) {
    reserve(added.length);
    System.arraycopy(added, 0, bytes, end, added.length);
    end += added.length;
    return this;
  }

  /**
   * Appends a text whose characters are bytes.
   *
   * @param text The text.
   * @return This buffer.
   */
  public OutputBuffer append(String text) {
    return append(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /**
   * Returns the number of bytes that wait.
   *
   * @return The number of bytes.
   */
  public int size() {
    return end - start;
  }

  /**
   * Returns the array that holds the bytes, from {@link #offset()} on.
   *
   * @return The array.
   */
  byte[] array() {
    return bytes;
  }

  /**
   * Returns the index of the first waiting byte.
   *
   * @return The index.
   */
  int offset() {
    return start;
  }

  /**
   * Removes bytes from the front.
   *
   * @param count The number of bytes.
   */
  void remove(int count) {
    start += count;
    if (start == end) {
      start = 0;
      end = 0;
    }
  }

  /**
   * Makes room for more bytes.
   *
   * @param count The number of bytes.
   */
  private void reserve(int count) {
    if (end + count <= bytes.length) {
      return;
    }
    System.arraycopy(bytes, start, bytes, 0, end - start);
    end -= start;
    start = 0;
    if (end + count > bytes.length) {
      bytes = Arrays.copyOf(bytes, Math.max(bytes.length * 2, end + count));
    }
  }
}
