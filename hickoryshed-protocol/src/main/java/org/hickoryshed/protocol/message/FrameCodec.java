package org.hickoryshed.protocol.message;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.hickoryshed.kernel.json.Json;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Reads and writes frames as MessagePack, preceded by their length as four bytes, the highest
 * first.
 */
public final class FrameCodec {

  /** The largest frame in bytes, without its length field. */
  public static final int MAXIMUM_LENGTH = 8 * 1024 * 1024;

  /**
   * The MessagePack parser reports the end of its input as a failure, hence the check for trailing
   * tokens is off.
   */
  private static final ObjectMapper MAPPER =
      Json.configure(JsonMapper.builder(new MessagePackFactory()))
          .disable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  private FrameCodec() {}

  /**
   * Encodes a frame.
   *
   * @return The frame as MessagePack, without its length field.
   * @throws IOException If the frame is too long.
   */
  public static byte[] encode(Frame frame) throws IOException {
    byte[] content = MAPPER.writeValueAsBytes(frame);
    if (content.length > MAXIMUM_LENGTH) {
      throw new IOException("a frame of " + content.length + " bytes exceeds the size limit");
    }
    return content;
  }

  /**
   * Writes an encoded frame with its length field. Does not flush.
   *
   * @param output The output.
   * @param content The frame as MessagePack.
   * @throws IOException If the output fails.
   */
  public static void write(DataOutputStream output, byte[] content) throws IOException {
    output.writeInt(content.length);
    output.write(content);
  }

  /**
   * Reads a frame with its length field and blocks until it is complete.
   *
   * @param input The input.
   * @throws IOException If the input ends or is malformed, or the frame is too long.
   */
  public static Frame read(DataInputStream input) throws IOException {
    int length = input.readInt();
    if (length < 0 || length > MAXIMUM_LENGTH) {
      throw new IOException(
          "the frame length " + length + " is negative or exceeds the size limit");
    }
    return decode(input.readNBytes(length));
  }

  /**
   * Decodes a frame.
   *
   * @param content The frame as MessagePack, without its length field.
   * @throws IOException If the content is malformed.
   */
  public static Frame decode(byte[] content) throws IOException {
    return MAPPER.readValue(content, Frame.class);
  }
}
