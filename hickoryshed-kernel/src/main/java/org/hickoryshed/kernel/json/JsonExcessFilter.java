package org.hickoryshed.kernel.json;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Replaces values of a JSON text that a parser would reject, or spend too much memory on, by {@code
 * null}: arrays and objects that are nested too deeply, numbers that are malformed or too long, and
 * values beyond the {@link JsonLimits} of the text.
 *
 * <p>It needs no memory for each level of nesting. The text need not be valid JSON; what is invalid
 * otherwise is left to the parser.
 */
final class JsonExcessFilter {

  /** The length up to which numbers are kept, in characters; no integer of 64 bits is longer. */
  private static final int MAX_NUMBER_LENGTH = 40;

  private static final Pattern NUMBER =
      Pattern.compile("-?(0|[1-9][0-9]*)(\\.[0-9]+)?([eE][+-]?[0-9]+)?");

  private static final byte[] NULL = "null".getBytes(StandardCharsets.US_ASCII);

  private final byte[] content;

  private final JsonLimits limits;

  private final Output output;

  /** The length of the output before each array or object that is open and kept. */
  private final int[] starts;

  /** The index of the next byte to read. */
  private int position;

  /** The number of arrays and objects that are open at the position. */
  private int depth;

  private JsonExcessFilter(byte[] content, JsonLimits limits) {
    this.content = content;
    this.limits = limits;
    output = new Output(content.length);
    starts = new int[limits.maxOpen()];
  }

  /**
   * Filters a text.
   *
   * @param content The JSON in UTF-8.
   * @param limits The limits.
   * @return The JSON without the excess.
   */
  static byte[] filter(byte[] content, JsonLimits limits) {
    JsonExcessFilter filter = new JsonExcessFilter(content, limits);
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
      copyStringFrom(start);
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
        if (depth <= starts.length) {
          output.write(next);
        }
      }
    }
  }

  private void open(byte bracket) {
    if (depth < starts.length) {
      starts[Math.max(depth, 0)] = output.size();
      output.write(bracket);
    } else if (depth == starts.length) {
      output.writeBytes(NULL);
    }
    depth++;
  }

  private void close(byte bracket) {
    depth--;
    if (depth < starts.length) {
      output.write(bracket);
    }
    boolean limited = depth >= limits.depth() && depth < starts.length;
    if (limited && output.size() - starts[depth] > limits.maxValueBytes()) {
      output.truncate(starts[depth]);
      output.writeBytes(NULL);
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

  /** Copies a string, or {@code null} in place of one that is too long and no name of a field. */
  private void copyStringFrom(int start) {
    boolean tooLong = depth >= limits.depth() && position - start > limits.maxValueBytes();
    if (!tooLong || isFollowedByColon()) {
      copyFrom(start);
    } else if (depth <= starts.length) {
      output.writeBytes(NULL);
    }
  }

  private boolean isFollowedByColon() {
    int next = position;
    while (next < content.length && content[next] <= ' ' && content[next] >= 0) {
      next++;
    }
    return next < content.length && content[next] == ':';
  }

  private void copyFrom(int start) {
    if (depth <= starts.length) {
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
    } else if (depth <= starts.length) {
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

  /** An output whose end can be taken back. */
  private static final class Output extends ByteArrayOutputStream {

    private Output(int capacity) {
      super(capacity);
    }

    private void truncate(int size) {
      count = size;
    }
  }
}
