package org.hickoryshed.kernel.json;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.MapperBuilder;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
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
   * Reads a JSON tree that several writers contributed to, so that an odd value of one of them does
   * not make the whole tree unreadable.
   *
   * <p>Values that are nested too deeply and malformed or overlong numbers are read as {@code null}
   * (see {@link JsonExcessFilter}), and invalid UTF-8 as replacement characters.
   *
   * @param content The JSON in UTF-8.
   * @return The tree or the reason why the content is malformed as a whole.
   */
  public static Result<JsonNode, Malformed> readTolerantly(byte[] content) {
    String text = new String(JsonExcessFilter.filter(content), StandardCharsets.UTF_8);
    try {
      JsonNode tree = TOLERANT_MAPPER.readTree(text);
      return tree.isMissingNode() ? Result.failure(new Malformed("empty")) : Result.success(tree);
    } catch (JsonProcessingException exception) {
      return Result.failure(new Malformed(exception.getOriginalMessage()));
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
