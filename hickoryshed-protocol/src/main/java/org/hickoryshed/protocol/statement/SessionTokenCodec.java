package org.hickoryshed.protocol.statement;

import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import org.hickoryshed.decision.session.SessionToken;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.kernel.json.Json;

/** The text form of session tokens, as it travels in headers. */
public final class SessionTokenCodec {

  /** The longest accepted text form. */
  private static final int MAXIMUM_LENGTH = 16 * 1024;

  /** This class is not instantiated. */
  private SessionTokenCodec() {}

  /**
   * Encodes a token.
   *
   * @param token The token.
   * @return The text form.
   */
  public static String encode(SessionToken token) {
    return Base64.getUrlEncoder().withoutPadding().encodeToString(Json.write(token));
  }

  /**
   * Decodes a token.
   *
   * @param text The text form.
   * @return The token or an empty optional if the text is malformed.
   */
  public static Optional<SessionToken> decode(String text) {
    if (text.length() > MAXIMUM_LENGTH) {
      return Optional.empty();
    }
    try {
      byte[] content = Base64.getUrlDecoder().decode(text.getBytes(StandardCharsets.US_ASCII));
      return Json.read(content, SessionToken.class).value().filter(SessionTokenCodec::isComplete);
    } catch (IllegalArgumentException exception) {
      return Optional.empty();
    }
  }

  /**
   * Checks that each position of a token is possible.
   *
   * @param token The token.
   * @return {@code true} if no term or index is negative.
   */
  private static boolean isComplete(SessionToken token) {
    for (LogPosition position : token.positions().values()) {
      if (position.term() < 0 || position.index() < 0) {
        return false;
      }
    }
    return true;
  }
}
