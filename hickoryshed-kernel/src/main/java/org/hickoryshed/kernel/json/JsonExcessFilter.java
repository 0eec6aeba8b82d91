package org.hickoryshed.kernel.json;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Replaces values of a JSON text that a parser would reject, or spend too much memory on, by {@code
 * null}: arrays and objects that are nested too deeply, and numbers that are malformed or too long.
 *
 * <p>It needs no memory for each level of nesting. The text need not be valid JSON; what is invalid
 * otherwise is left to the parser.
 */
final class JsonExcessFilter {

  /** The depth up to which arrays and objects are kept. */
  private static final int MAX_DEPTH = 32;

  /** The length up to which numbers are kept, in characters; no integer of 64 bits is longer. */
  private static final int MAX_NUMBER_LENGTH = 40;

  private static final Pattern NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?");

  private static final byte[] NULL = "null".getBytes(StandardCharsets.US_ASCII);

  private final byte[] content;

  private final ByteArrayOutputStream output;

  /** The index of the next byte to read. */
  private int position;

  /** The number of arrays and objects that are open at the position. */
  private int depth;

  private JsonExcessFilter(byte[] content) {
    this.content = content;
    output = new ByteArrayOutputStream(content.length);
  }

  /**
   * Filters a text.
   *
   * @param content The JSON in UTF-8.
   * @return The JSON without the excess.
   */
  static byte[] filter(byte[] content) {
    JsonExcessFilter filter = new JsonExcessFilter(content);
    while (filter.position < content.length) {
      filter.copyNext();
    }
    return filter.output.toByteArray();
  }

  /** Copies the next string, bare word, bracket or other byte unless it is in excess. */
  private void copyNext() {
    int start = position;
    byte next = content[position];
    if (next == '"') {
      skipString();
      copyFrom(start);
    } else if (isWordCharacter(next)) {
      skipWord();
      copyWordFrom(start);
    } else {
      position++;
      copyPunctuation(next);
    }
  }

  private void copyPunctuation(byte next) {
    switch (next) {
      case '[', '{' -> open(next);
      case ']', '}' -> close(next);
      default -> {
        if (depth <= MAX_DEPTH) {
          output.write(next);
        }
      }
    }
  }

  private void open(byte bracket) {
    if (depth < MAX_DEPTH) {
      output.write(bracket);
    } else if (depth == MAX_DEPTH) {
      output.writeBytes(NULL);
    }
    depth++;
  }

  private void close(byte bracket) {
    depth--;
    if (depth < MAX_DEPTH) {
      output.write(bracket);
    }
  }

  /** Moves the position behind the string that starts there. */
  private void skipString() {
    position++;
    while (position < content.length && content[position] != '"') {
      position += content[position] == '\\' ? 2 : 1;
    }
    position = Math.min(position + 1, content.length);
  }

  private void skipWord() {
    while (position < content.length && isWordCharacter(content[position])) {
      position++;
    }
  }

  private void copyFrom(int start) {
    if (depth <= MAX_DEPTH) {
      output.write(content, start, position - start);
    }
  }

  /** Copies a literal or a number, or {@code null} in place of any other word. */
  private void copyWordFrom(int start) {
    String word =
        new String(
            content,
            start,
            Math.min(position - start, MAX_NUMBER_LENGTH + 1),
            StandardCharsets.US_ASCII);
    boolean kept =
        switch (word) {
          case "true", "false", "null" -> true;
          default -> word.length() <= MAX_NUMBER_LENGTH && NUMBER.matcher(word).matches();
        };
    if (kept) {
      copyFrom(start);
    } else if (depth <= MAX_DEPTH) {
      output.writeBytes(NULL);
    }
  }

  /** Checks if a byte may be a part of a literal, a number or another word without quotes. */
  private static boolean isWordCharacter(byte value) {
    return value >= '0' && value <= '9'
        || value >= 'a' && value <= 'z'
        || value >= 'A' && value <= 'Z'
        || value == '-'
        || value == '+'
        || value == '.';
  }
}
