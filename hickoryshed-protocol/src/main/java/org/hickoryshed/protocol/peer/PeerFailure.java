package org.hickoryshed.protocol.peer;

/** A failure to get an answer from a peer. */
public sealed interface PeerFailure {

  /**
   * The request was not sent.
   *
   * @param detail What is known about the failure.
   */
  record NotSent(String detail) implements PeerFailure {}

  /**
   * The request was sent or may have been sent, and no answer came.
   *
   * @param detail What is known about the failure.
   */
  record NoAnswer(String detail) implements PeerFailure {}
}
