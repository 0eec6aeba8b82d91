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

/** A reader of TOML settings that collects all problems instead of stopping at the first. */
public final class SettingsReader {

  /** A number with a unit of time. */
  private static final Pattern DURATION = Pattern.compile("(\\d+(?:\\.\\d+)?)\\s*(ms|s|m|h)");

  /** A number with a unit of size. */
  private static final Pattern SIZE = Pattern.compile("(\\d+)\\s*(B|KB|MB)");

  /** An IP number with a port. */
  private static final Pattern ADDRESS = Pattern.compile("([0-9.]+|\\[[0-9a-fA-F:]+]):(\\d{1,5})");

  /** The name of the file. */
  private final String source;

  /** The parsed file. */
  private final TomlParseResult toml;

  /** The keys that were read. */
  private final Set<String> known = new HashSet<>();

  /** The problems that were found. */
  private final List<SettingsProblem> problems = new ArrayList<>();

  /**
   * Creates a new reader.
   *
   * @param source The name of the file.
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
   * @return A reader of the content of the file, with a problem if the file can't be read.
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
   * Reads a mandatory text.
   *
   * @param key The dotted key.
   * @return The text or an empty text if there is a problem.
   */
  public String text(String key) {
    return optionalText(key)
        .orElseGet(
            () -> {
              if (!toml.contains(key)) {
                reportProblem(key, "missing", "a text");
              }
              return "";
            });
  }

  /**
   * Reads an optional text.
   *
   * @param key The dotted key.
   * @return The text or an empty optional if it is missing or there is a problem.
   */
  public Optional<String> optionalText(String key) {
    return typed(key, String.class, "a text");
  }

  /**
   * Reads a text out of a fixed choice.
   *
   * @param key The dotted key.
   * @param type The enumeration that holds the choice.
   * @param fallback The value if the key is missing.
   * @param <T> The type of the enumeration.
   * @return The chosen value.
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
   * @param fallback The value if the key is missing.
   * @param minimum The smallest allowed value.
   * @param maximum The largest allowed value.
   * @return The integer.
   */
  public int integer(String key, int fallback, int minimum, int maximum) {
    String expected = "an integer from " + minimum + " to " + maximum;
    Optional<Long> value = typed(key, Long.class, expected);
    if (value.isPresent() && (value.get() < minimum || value.get() > maximum)) {
      reportProblem(key, String.valueOf(value.get()), expected);
      return fallback;
    }
    return value.map(Long::intValue).orElse(fallback);
  }

  /**
   * Reads a truth value.
   *
   * @param key The dotted key.
   * @param fallback The value if the key is missing.
   * @return The truth value.
   */
  public boolean flag(String key, boolean fallback) {
    return typed(key, Boolean.class, "true or false").orElse(fallback);
  }

  /**
   * Reads a duration.
   *
   * @param key The dotted key.
   * @param fallback The value if the key is missing.
   * @return The duration.
   */
  public Duration duration(String key, Duration fallback) {
    return optionalDuration(key).orElse(fallback);
  }

  /**
   * Reads an optional duration.
   *
   * @param key The dotted key.
   * @return The duration or an empty optional if it is missing or there is a problem.
   */
  public Optional<Duration> optionalDuration(String key) {
    return optionalText(key).flatMap(text -> parseDuration(key, text));
  }

  /**
   * Reads a size.
   *
   * @param key The dotted key.
   * @param fallback The value in bytes if the key is missing.
   * @return The size in bytes.
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
    long unit =
        switch (matcher.group(2)) {
          case "B" -> 1;
          case "KB" -> 1024;
          default -> 1024 * 1024;
        };
    return Math.toIntExact(Math.min(Integer.MAX_VALUE, Long.parseLong(matcher.group(1)) * unit));
  }

  /**
   * Reads a mandatory address.
   *
   * @param key The dotted key.
   * @return The address, unresolved wildcard if there is a problem.
   */
  public InetSocketAddress address(String key) {
    return parseAddress(key, text(key));
  }

  /**
   * Reads a list of addresses.
   *
   * @param key The dotted key.
   * @return The addresses.
   */
  public List<InetSocketAddress> addresses(String key) {
    return texts(key).stream().map(text -> parseAddress(key, text)).toList();
  }

  /**
   * Reads a list of texts.
   *
   * @param key The dotted key.
   * @return The texts, empty if the key is missing.
   */
  public List<String> texts(String key) {
    known.add(key);
    if (!toml.contains(key)) {
      return List.of();
    }
    if (!toml.isArray(key)) {
      reportProblem(key, String.valueOf(toml.get(key)), "a list of texts");
      return List.of();
    }
    List<String> texts = new ArrayList<>();
    for (Object element : toml.getArrayOrEmpty(key).toList()) {
      if (element instanceof String text) {
        texts.add(text);
      } else {
        reportProblem(key, String.valueOf(element), "a text");
      }
    }
    return List.copyOf(texts);
  }

  /**
   * Returns the names of the tables below a key.
   *
   * @param key The dotted key of the parent table.
   * @return The names in the order of the alphabet.
   */
  public Set<String> tableNames(String key) {
    TomlTable table = toml.isTable(key) ? toml.getTable(key) : null;
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
   * Reports a problem.
   *
   * @param key The dotted key.
   * @param value The value that was found.
   * @param expected What would be right.
   */
  public void reportProblem(String key, String value, String expected) {
    TomlPosition position = toml.contains(key) ? toml.inputPositionOf(key) : null;
    int line = position == null ? 0 : position.line();
    problems.add(new SettingsProblem(source, line, key, value, expected));
  }

  /**
   * Returns all problems, among them one for each key that was never read.
   *
   * @return All problems in their order of discovery.
   */
  public List<SettingsProblem> problems() {
    List<SettingsProblem> all = new ArrayList<>(problems);
    for (String key : toml.dottedKeySet()) {
      if (!known.contains(key)) {
        TomlPosition position = toml.inputPositionOf(key);
        int line = position == null ? 0 : position.line();
        all.add(
            new SettingsProblem(source, line, key, String.valueOf(toml.get(key)), "a known key"));
      }
    }
    return List.copyOf(all);
  }

  /**
   * Reads a value of a type.
   *
   * @param key The dotted key.
   * @param type The type of the value.
   * @param expected What would be right.
   * @param <T> The type of the value.
   * @return The value or an empty optional if it is missing or of another type.
   */
  private <T> Optional<T> typed(String key, Class<T> type, String expected) {
    known.add(key);
    if (!toml.contains(key)) {
      return Optional.empty();
    }
    Object value = toml.get(key);
    if (type.isInstance(value)) {
      return Optional.of(type.cast(value));
    }
    reportProblem(key, String.valueOf(value), expected);
    return Optional.empty();
  }

  /**
   * Parses a duration.
   *
   * @param key The dotted key for problems.
   * @param text The text.
   * @return The duration or an empty optional.
   */
  private Optional<Duration> parseDuration(String key, String text) {
    Matcher matcher = DURATION.matcher(text);
    if (!matcher.matches() || matcher.group(1).length() > 9) {
      reportProblem(key, text, "a duration such as \"250 ms\" (units ms, s, m, h)");
      return Optional.empty();
    }
    BigDecimal amount = new BigDecimal(matcher.group(1));
    long millis =
        switch (matcher.group(2)) {
          case "ms" -> 1;
          case "s" -> 1_000;
          case "m" -> 60_000;
          default -> 3_600_000;
        };
    return Optional.of(
        Duration.ofMillis(
            amount
                .multiply(BigDecimal.valueOf(millis))
                .setScale(0, RoundingMode.HALF_UP)
                .longValueExact()));
  }

  /**
   * Parses an address.
   *
   * @param key The dotted key for problems.
   * @param text The text.
   * @return The address.
   */
  private InetSocketAddress parseAddress(String key, String text) {
    Matcher matcher = ADDRESS.matcher(text);
    if (matcher.matches() && Integer.parseInt(matcher.group(2)) <= 65_535) {
      return new InetSocketAddress(matcher.group(1), Integer.parseInt(matcher.group(2)));
    }
    if (!text.isEmpty()) {
      reportProblem(key, text, "an IP number with a port such as \"127.0.0.1:8080\"");
    }
    return new InetSocketAddress(0);
  }
}
