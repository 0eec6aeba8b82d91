package org.hickoryshed.kernel.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;
import org.hickoryshed.kernel.result.Result;

/**
 * Reads and writes values as JSON with the settings that all processes share.
 *
 * <p>Absent optional values are left out, enum constants are read in upper or lower case, and
 * content after the end of the value is an error.
 */
public final class Json {

  private static final ObjectMapper MAPPER = configure(JsonMapper.builder()).build();

  /** Reads names of any length; their memory is limited by that of the whole content. */
  private static final ObjectMapper TOLERANT_MAPPER =
      configure(
              JsonMapper.builder(
                  JsonFactory.builder()
                      .streamReadConstraints(
                          StreamReadConstraints.builder().maxNameLength(Integer.MAX_VALUE).build())
                      .build()))
          // Values are read one by one; what follows the last one is checked by the code.
          .disable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private Json() {}

  /**
   * Applies the shared settings to the builder of a mapper of any format.
   *
   * @param builder The builder of the mapper, which is changed.
   * @param <M> The type of the mapper.
   * @param <B> The type of the builder.
   * @return The supplied builder.
   */
  public static <M extends ObjectMapper, B extends MapperBuilder<M, B>> B configure(B builder) {
    return builder
        .addModule(new Jdk8Module())
        .serializationInclusion(JsonInclude.Include.NON_ABSENT)
        .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
        .disable(MapperFeature.AUTO_DETECT_IS_GETTERS)
        .enable(MapperFeature.ACCEPT_CASE_INSENSITIVE_ENUMS);
  }

  /**
   * Returns the shared mapper, which must not be reconfigured.
   *
   * @return The shared mapper.
   */
  public static ObjectMapper mapper() {
    return MAPPER;
  }

  /**
   * Writes a value as JSON.
   *
   * @param value The value.
   * @return The JSON in UTF-8.
   * @throws IllegalArgumentException If the type of the value can't be written as JSON.
   */
  public static byte[] write(Object value) {
    try {
      return MAPPER.writeValueAsBytes(value);
    } catch (JsonProcessingException exception) {
      throw new IllegalArgumentException(exception);
    }
  }

  /**
   * Reads a value from JSON.
   *
   * @param content The JSON in UTF-8.
   * @param type The type of the value.
   * @param <T> The type of the value.
   * @return The value or the reason why the content is malformed; the JSON {@code null} is
   *     malformed.
   */
  public static <T> Result<T, Malformed> read(byte[] content, Class<T> type) {
    try {
      T value = MAPPER.readValue(content, type);
      return value == null ? Result.failure(new Malformed("empty")) : Result.success(value);
    } catch (JsonProcessingException exception) {
      return Result.failure(new Malformed(exception.getOriginalMessage()));
    } catch (IOException exception) {
      return Result.failure(new Malformed(exception.getMessage()));
    }
  }

  /**
   * Reads a JSON object that several writers contributed to, so that an odd value of one of them
   * neither makes the whole object unreadable nor takes much memory.
   *
   * <p>Values beyond the limits, that are nested too deeply, and malformed or overlong numbers are
   * read as {@code null} (see {@link JsonExcessFilter}), and invalid UTF-8 as replacement
   * characters. Only one element of the array is held in memory at a time.
   *
   * @param content The JSON in UTF-8.
   * @param limits The limits.
   * @param array The name of an array in the object.
   * @param receiver Receives the elements of the array one by one, also if the content turns out to
   *     be malformed later.
   * @return The object without the array, or the reason why the content is malformed as a whole.
   */
  public static Result<JsonNode, Malformed> readTolerantly(
      byte[] content, JsonLimits limits, String array, Consumer<JsonNode> receiver) {
    String text = new String(JsonExcessFilter.filter(content, limits), StandardCharsets.UTF_8);
    try (JsonParser parser = TOLERANT_MAPPER.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        return Result.failure(new Malformed("not an object"));
      }
      ObjectNode others = TOLERANT_MAPPER.createObjectNode();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        String name = parser.currentName();
        if (parser.nextToken() == JsonToken.START_ARRAY && name.equals(array)) {
          readElements(parser, receiver);
        } else {
          others.set(name, parser.<JsonNode>readValueAsTree());
        }
      }
      return parser.nextToken() == null
          ? Result.success(others)
          : Result.failure(new Malformed("content after the end of the object"));
    } catch (JsonProcessingException exception) {
      return Result.failure(new Malformed(exception.getOriginalMessage()));
    } catch (IOException exception) {
      return Result.failure(new Malformed(exception.getMessage()));
    }
  }

  private static void readElements(JsonParser parser, Consumer<JsonNode> receiver)
      throws IOException {
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      receiver.accept(parser.readValueAsTree());
    }
  }

  /**
   * Converts a parsed JSON tree to a value.
   *
   * @param node The tree.
   * @param type The type of the value.
   * @param <T> The type of the value.
   * @return The value or the reason why the tree does not describe one.
   */
  public static <T> Result<T, Malformed> convert(JsonNode node, Class<T> type) {
    try {
      return Result.success(MAPPER.treeToValue(node, type));
    } catch (JsonProcessingException exception) {
      return Result.failure(new Malformed(exception.getOriginalMessage()));
    }
  }

  /**
   * The reason why content could not be read.
   *
   * @param detail What is wrong with the content.
   */
  public record Malformed(String detail) {}
}
