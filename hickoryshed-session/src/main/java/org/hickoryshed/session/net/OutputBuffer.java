package org.hickoryshed.session.net;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/** A queue of bytes to send that grows as needed; its owner limits its size. */
public final class OutputBuffer {

  private static final int INITIAL_SIZE = 512;

  /** A larger array is given up once all of it is sent. */
  private static final int MAX_KEPT_SIZE = 4 * 1024;

  private byte[] bytes = new byte[INITIAL_SIZE];

  /** The index of the first unsent byte. */
  private int start;

  /** The index after the last unsent byte. */
  private int end;

  /**
   * Appends a copy of bytes.
   *
   * @return This buffer.
   */
  public OutputBuffer append(byte[] added) {
    reserve(added.length);
    System.arraycopy(added, 0, bytes, end, added.length);
    end += added.length;
    return this;
  }

  /**
   * Appends a text, one byte for each character.
   *
   * @param text A text of ISO 8859-1 characters; others are sent as a question mark.
   * @return This buffer.
   */
  public OutputBuffer append(String text) {
    return append(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  /** Returns the number of unsent bytes. */
  public int size() {
    return end - start;
  }

  /** Returns the memory that the unsent bytes take up, zero if it is only what is always kept. */
  int heldBytes() {
    return bytes.length > MAX_KEPT_SIZE ? bytes.length : 0;
  }

  /** Returns the array that holds the unsent bytes, from {@link #offset()} on; not a copy. */
  byte[] array() {
    return bytes;
  }

  /** Returns the index of the first unsent byte in {@link #array()}. */
  int offset() {
    return start;
  }

  /** Removes bytes that were sent from the front. */
  void remove(int count) {
    start += count;
    if (start == end) {
      start = 0;
      end = 0;
      if (bytes.length > MAX_KEPT_SIZE) {
        bytes = new byte[INITIAL_SIZE];
      }
    }
  }

  /** Ensures that a number of bytes fit after the end: moves the content to the front or grows. */
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
