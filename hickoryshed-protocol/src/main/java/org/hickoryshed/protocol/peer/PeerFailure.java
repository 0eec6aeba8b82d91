package org.hickoryshed.protocol.peer;

/** The reason why a peer did not respond to a request. */
public sealed interface PeerFailure {

  /** The request was not sent and definitely did not run. */
  record NotSent(String detail) implements PeerFailure {}

  /** The request may have been sent, and no response came in time. It may have run. */
  record NoAnswer(String detail) implements PeerFailure {}
}
