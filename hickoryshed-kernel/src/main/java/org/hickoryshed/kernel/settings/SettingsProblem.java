package org.hickoryshed.kernel.settings;

/**
 * A problem of one setting, printed as {@code FILE:LINE: KEY = VALUE: expected WHAT}.
 *
 * @param source The name of the file.
 * @param line The line of the setting or of the syntax error, zero if the setting is missing or the
 *     file can't be read.
 * @param key The dotted key of the setting, empty if the file can't be read or is not TOML.
 * @param value The value that was found, or a description of what was found instead: {@code
 *     missing} for a required setting that is absent, the message of the parser if the file is not
 *     TOML, the exception if it can't be read.
 * @param expected What would be right.
 */
public record SettingsProblem(String source, int line, String key, String value, String expected) {

  @Override
  public String toString() {
    return "%s:%d: %s = %s: expected %s".formatted(source, line, key, value, expected);
  }
}
