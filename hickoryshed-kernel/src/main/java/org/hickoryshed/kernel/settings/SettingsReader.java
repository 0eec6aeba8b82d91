package org.hickoryshed.kernel.settings;

import java.io.IOException;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tomlj.Toml;
import org.tomlj.TomlParseResult;
import org.tomlj.TomlPosition;
import org.tomlj.TomlTable;

/**
 * Reads settings from TOML by their dotted keys and collects all problems instead of stopping at
 * the first.
 *
 * <p>A value that is missing or wrong is replaced by a default, so that reading goes on. When all
 * settings are read, {@link #problems} returns what is wrong, including each key of the file that
 * was never read, such as a misspelt one. Not thread-safe.
 */
public final class SettingsReader {

  /** A decimal number and a unit of time. */
  private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(ms|s|m|h)");

  /** A whole number and a unit of size. */
  private static final Pattern SIZE = Pattern.compile("(\\d+)\\s*(B|KB|MB)");

  /** An IPv4 address, or an IPv6 address in brackets, with a port. */
  private static final Pattern ADDRESS = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+]):(\\d{1,5})");

  private final String source;

  private final TomlParseResult toml;

  private final Set<List<String>> readPaths = new HashSet<>();

  private final List<SettingsProblem> problems = new ArrayList<>();

  /**
   * Creates a reader of TOML. Syntax errors are added to the problems.
   *
   * @param source The name of the file, for problems.
   * @param content The content of the file.
   */
  public SettingsReader(String source, String content) {
    this.source = source;
    toml = Toml.parse(content);
    toml.errors()
        .forEach(
            error ->
                problems.add(
                    new SettingsProblem(
                        source, error.position().line(), "", error.getMessage(), "valid TOML")));
  }

  /**
   * Reads a file.
   *
   * @param file The file.
   * @return A reader of its content. If the file can't be read, the content is empty and this is
   *     one of the problems.
   */
  public static SettingsReader of(Path file) {
    try {
      return new SettingsReader(file.toString(), Files.readString(file, StandardCharsets.UTF_8));
    } catch (IOException exception) {
      SettingsReader reader = new SettingsReader(file.toString(), "");
      reader.problems.add(
          new SettingsProblem(file.toString(), 0, "", exception.toString(), "a readable file"));
      return reader;
    }
  }

  /**
   * Reads a mandatory string.
   *
   * @param key The dotted key.
   * @return The string, or an empty string with a problem if it is missing or not a string.
   */
  public String text(String key) {
    return optionalText(key)
        .orElseGet(
            () -> {
              if (!toml.contains(pathOf(key))) {
                reportProblem(key, "missing", "a string");
              }
              return "";
            });
  }

  /**
   * Reads an optional string.
   *
   * @param key The dotted key.
   * @return The string or an empty optional if it is missing, or with a problem if it is not a
   *     string.
   */
  public Optional<String> optionalText(String key) {
    return readTyped(key, String.class, "a string");
  }

  /**
   * Reads an enum constant, written in lower case with hyphens.
   *
   * @param key The dotted key.
   * @param type The enum.
   * @param fallback The constant if the key is missing, or with a problem if no constant has this
   *     name.
   * @param <T> The enum.
   * @return The constant.
   */
  public <T extends Enum<T>> T choice(String key, Class<T> type, T fallback) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    List<String> names = new ArrayList<>();
    for (T constant : type.getEnumConstants()) {
      String name = constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
      if (name.equals(text.get())) {
        return constant;
      }
      names.add(name);
    }
    reportProblem(key, text.get(), "one of " + names);
    return fallback;
  }

  /**
   * Reads an integer.
   *
   * @param key The dotted key.
   * @param fallback The value if the key is missing, or with a problem if it is out of range or not
   *     an integer.
   * @param minimum The smallest allowed value.
   * @param maximum The largest allowed value.
   * @return The integer.
   */
  public int integer(String key, int fallback, int minimum, int maximum) {
    String expected = "an integer from " + minimum + " to " + maximum;
    Optional<Long> value = readTyped(key, Long.class, expected);
    if (value.isPresent() && (value.get() < minimum || value.get() > maximum)) {
      reportProblem(key, String.valueOf(value.get()), expected);
      return fallback;
    }
    return value.map(Long::intValue).orElse(fallback);
  }

  /**
   * Reads a number, which may have decimals.
   *
   * @param key The dotted key.
   * @param fallback The value if the key is missing, or with a problem if it is out of range or not
   *     a number.
   * @param minimum The smallest allowed value.
   * @param maximum The largest allowed value.
   * @return The number.
   */
  public double number(String key, double fallback, double minimum, double maximum) {
    String expected = "a number from " + minimum + " to " + maximum;
    Optional<Number> value = readTyped(key, Number.class, expected);
    if (value.isPresent()
        && !(value.get().doubleValue() >= minimum && value.get().doubleValue() <= maximum)) {
      reportProblem(key, String.valueOf(value.get()), expected);
      return fallback;
    }
    return value.map(Number::doubleValue).orElse(fallback);
  }

  /**
   * Reads a boolean.
   *
   * @param key The dotted key.
   * @param fallback The value if the key is missing, or with a problem if it is not a boolean.
   * @return The boolean.
   */
  public boolean flag(String key, boolean fallback) {
    return readTyped(key, Boolean.class, "true or false").orElse(fallback);
  }

  /**
   * Reads a duration such as {@code "250 ms"}.
   *
   * @param key The dotted key.
   * @param fallback The value if the key is missing, or with a problem if it is not a duration.
   * @return The duration, rounded to milliseconds.
   */
  public Duration duration(String key, Duration fallback) {
    return optionalDuration(key).orElse(fallback);
  }

  /**
   * Reads an optional duration such as {@code "250 ms"}.
   *
   * @param key The dotted key.
   * @return The duration, rounded to milliseconds, or an empty optional if it is missing, or with a
   *     problem if it is not a duration.
   */
  public Optional<Duration> optionalDuration(String key) {
    return optionalText(key).flatMap(text -> parseDuration(key, text));
  }

  /**
   * Reads a size such as {@code "64 KB"}, where a kilobyte has 1024 bytes.
   *
   * @param key The dotted key.
   * @param fallback The value in bytes if the key is missing, or with a problem if it is not a
   *     size.
   * @return The size in bytes, at most {@link Integer#MAX_VALUE}.
   */
  public int bytes(String key, int fallback) {
    Optional<String> text = optionalText(key);
    if (text.isEmpty()) {
      return fallback;
    }
    Matcher matcher = SIZE.matcher(text.get());
    if (!matcher.matches()) {
      reportProblem(key, text.get(), "a size such as \"64 KB\" (units B, KB, MB)");
      return fallback;
    }
    long unitBytes =
        switch (matcher.group(2)) {
          case "B" -> 1;
          case "KB" -> 1024;
          default -> 1024 * 1024;
        };
    return Math.toIntExact(
        Math.min(Integer.MAX_VALUE, Long.parseLong(matcher.group(1)) * unitBytes));
  }

  /**
   * Reads a mandatory address such as {@code "127.0.0.1:8080"}.
   *
   * @param key The dotted key.
   * @return The address, or the wildcard address with port zero and a problem if it is missing or
   *     malformed.
   */
  public InetSocketAddress address(String key) {
    return parseAddress(key, text(key));
  }

  /**
   * Reads a list of addresses.
   *
   * @param key The dotted key.
   * @return The addresses, empty if the key is missing. A malformed element is a problem and yields
   *     the wildcard address with port zero.
   */
  public List<InetSocketAddress> addresses(String key) {
    return texts(key).stream().map(text -> parseAddress(key, text)).toList();
  }

  /**
   * Reads a list of strings.
   *
   * @param key The dotted key.
   * @return The strings, empty if the key is missing. An element that is not a string is a problem
   *     and left out.
   */
  public List<String> texts(String key) {
    List<String> path = pathOf(key);
    readPaths.add(path);
    if (!toml.contains(path)) {
      return List.of();
    }
    if (!toml.isArray(path)) {
      reportProblem(key, String.valueOf(toml.get(path)), "a list of strings");
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (Object element : toml.getArrayOrEmpty(path).toList()) {
      if (element instanceof String text) {
        texts.add(text);
      } else {
        reportProblem(key, String.valueOf(element), "a string");
      }
    }
    return List.copyOf(texts);
  }

  /**
   * Returns the names of the tables directly below a key.
   *
   * @param key The dotted key of the parent table.
   * @return The names in alphabetical order, empty if the key is missing or not a table.
   */
  public Set<String> tableNames(String key) {
    List<String> path = pathOf(key);
    TomlTable table = toml.isTable(path) ? toml.getTable(path) : null;
    if (table == null) {
      return Set.of();
    }
    Set<String> names = new TreeSet<>();
    for (String name : table.keySet()) {
      if (table.get(List.of(name)) instanceof TomlTable) {
        names.add(name);
      }
    }
    return names;
  }

  /**
   * Adds a problem at the line of a key. Readers of settings use it for rules that a single value
   * can't show.
   *
   * @param key The dotted key.
   * @param value The value that was found.
   * @param expected What would be right.
   */
  public void reportProblem(String key, String value, String expected) {
    problems.add(new SettingsProblem(source, lineOf(pathOf(key)), key, value, expected));
  }

  /**
   * Returns all problems, including one for each key of the file that was never read. Call it after
   * all settings were read.
   *
   * @return The problems in the order of their discovery, empty if the settings are right.
   */
  public List<SettingsProblem> problems() {
    List<SettingsProblem> all = new ArrayList<>(problems);
    for (List<String> path : toml.keyPathSet()) {
      if (!readPaths.contains(path)) {
        String value = String.valueOf(toml.get(path));
        all.add(
            new SettingsProblem(
                source, lineOf(path), String.join(".", path), value, "a known key"));
      }
    }
    return List.copyOf(all);
  }

  /**
   * Splits a dotted key. The library would run its TOML parser to do so, which takes a notable part
   * of the start of a process.
   */
  private static List<String> pathOf(String key) {
    return List.of(key.split("\\."));
  }

  /** Returns the line of a key, zero if the file lacks it. */
  private int lineOf(List<String> path) {
    TomlPosition position = toml.contains(path) ? toml.inputPositionOf(path) : null;
    return position == null ? 0 : position.line();
  }

  private <T> Optional<T> readTyped(String key, Class<T> type, String expected) {
    List<String> path = pathOf(key);
    readPaths.add(path);
    if (!toml.contains(path)) {
      return Optional.empty();
    }
    Object value = toml.get(path);
    if (type.isInstance(value)) {
      return Optional.of(type.cast(value));
    }
    reportProblem(key, String.valueOf(value), expected);
    return Optional.empty();
  }

  private Optional<Duration> parseDuration(String key, String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches() || matcher.group(1).length() > 9) {
      reportProblem(key, text, "a duration such as \"250 ms\" (units ms, s, m, h)");
      return Optional.empty();
    }
    BigDecimal amount = new BigDecimal(matcher.group(1));
    long unitMillis =
        switch (matcher.group(2)) {
          case "ms" -> 1;
          case "s" -> 1_000;
          case "m" -> 60_000;
          default -> 3_600_000;
        };
    return Optional.of(
        Duration.ofMillis(
            amount
                .multiply(BigDecimal.valueOf(unitMillis))
                .setScale(0, RoundingMode.HALF_UP)
                .longValueExact()));
  }

  /**
   * Parses an address and reports a malformed one. An empty text is already reported as missing.
   */
  private InetSocketAddress parseAddress(String key, String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (matcher.matches() && Integer.parseInt(matcher.group(2)) <= 65_535) {
      return new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }
    if (!text.isEmpty()) {
      reportProblem(key, text, "an IP address with a port such as \"127.0.0.1:8080\"");
    }
    return new InetSocketAddress(0);
  }
}
