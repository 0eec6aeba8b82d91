package org.hickoryshed.protocol.statement;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import org.hickoryshed.decision.session.SessionToken;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.kernel.json.Json;

/** Converts session tokens to the text that callers send in a header, and back. */
public final class SessionTokenCodec {

  /** The longest accepted text in characters. */
  private static final int MAX_LENGTH = 16 * 1024;

  private SessionTokenCodec() {}

  /** Encodes a token as JSON in unpadded URL-safe Base64. */
  public static String encode(SessionToken token) {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(Json.write(token));
  }

  /**
   * Decodes a token.
   *
   * @param text The text from the header, possibly malformed.
   * @return The token or an empty optional if the text is malformed or too long.
   */
  public static Optional<SessionToken> decode(String text) {
    if (text.length() > MAX_LENGTH) {
      return Optional.empty();
    }
    try {
      byte[] content = Base64.getUrlDecoder().decode(text.getBytes(StandardCharsets.US_ASCII));
      return Json.read(content, SessionToken.class)
          .value()
          .filter(SessionTokenCodec::hasValidPositions);
    } catch (IllegalArgumentException exception) {
      return Optional.empty();
    }
  }

  /** Checks that no term or index of a token is negative. */
  private static boolean hasValidPositions(SessionToken token) {
    for (LogPosition position : token.positions().values()) {
      if (position.term() < 0 || position.index() < 0) {
        return false;
      }
    }
    return true;
  }
}
