package org.hickoryshed.protocol.message;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import org.hickoryshed.kernel.json.Json;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** Reads and writes frames as MessagePack behind their length. */
public final class FrameCodec {

  /** The largest length of a frame in bytes. */
  public static final int MAXIMUM_LENGTH = 8 * 1024 * 1024;

  /** The mapper. The MessagePack parser reports the end of its input as a failure. */
  private static final ObjectMapper MAPPER =
      Json.configure(JsonMapper.builder(new MessagePackFactory()))
          .disable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
          .build();

  /** This class is not instantiated. */
  private FrameCodec() {}

  /**
   * Encodes a frame.
   *
   * @param frame The frame.
   * @return The frame as MessagePack.
   * @throws IOException If the frame is too long.
   */
  public static byte[] encode(Frame frame) throws IOException {
    byte[] content = MAPPER.writeValueAsBytes(frame);
    if (content.length > MAXIMUM_LENGTH) {
      throw new IOException("a frame of " + content.length + " bytes is too long");
    }
    return content;
  }

  /**
   * Writes an encoded frame.
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
   * Reads a frame.
   *
   * @param input The input.
   * @return The frame.
   * @throws IOException If the input ends or is malformed.
   */
  public static Frame read(DataInputStream input) throws IOException {
    int length = input.readInt();
    if (length < 0 || length > MAXIMUM_LENGTH) {
      throw new IOException("a frame of " + length + " bytes is not acceptable");
    }
    return decode(input.readNBytes(length));
  }

  /**
   * Decodes a frame.
   *
   * @param content The frame as MessagePack.
   * @return The frame.
   * @throws IOException If the content is malformed.
   */
  public static Frame decode(byte[] content) throws IOException {
    return MAPPER.readValue(content, Frame.class);
  }
}
