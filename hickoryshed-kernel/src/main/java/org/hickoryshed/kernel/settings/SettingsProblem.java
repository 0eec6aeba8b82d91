package org.hickoryshed.kernel.settings;

/**
 * A problem of one setting, printed as {@code FILE:LINE: KEY = VALUE: expected WHAT}.
 *
 * @param source The name of the file.
 * @param line The line of the setting, or zero if the setting is missing.
 * @param key The dotted key of the setting, empty if the file can't be read or is not TOML.
 * @param value The value that was found.
 * @param expected What would be right.
 */
public record SettingsProblem(String source, int line, String key, String value, String expected) {

  @Override
  public String toString() {
    return "%s:%d: %s = %s: expected %s".formatted(source, line, key, value, expected);
  }
}
