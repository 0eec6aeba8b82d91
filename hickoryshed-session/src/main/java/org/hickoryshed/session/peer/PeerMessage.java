package org.hickoryshed.session.peer;

import java.io.IOException;
import java.util.Optional;
import org.hickoryshed.decision.membership.StoreWatchState;
import org.hickoryshed.decision.topology.LogPosition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** A datagram between two proxies. */
public sealed interface PeerMessage {

  /** The version of the datagrams; others are dropped. */
  int FORMAT = 4;

  /**
   * Tells that a proxy is alive.
   *
   * @param boot The identifier of the run of the proxy.
   * @param domain The failure domain of the proxy.
   * @param leaving True if the proxy is about to end.
   * @param desiredVersion The version of the desired state in force there.
   * @param memberVersion The revision of the store that shows the last change of the members that
   *     is known there.
   * @param access What the proxy knows of the store at first hand.
   */
  record Heartbeat(
      String boot,
      String domain,
      boolean leaving,
      long desiredVersion,
      long memberVersion,
      StoreWatchState access)
      implements PeerMessage {}

  /**
   * Asks whether a primary is reachable.
   *
   * @param pool The pool of the primary.
   * @param member The identifier of the primary.
   * @param question The number of the question.
   */
  record Question(String pool, String member, long question) implements PeerMessage {}

  /**
   * Answers whether a primary is reachable.
   *
   * @param question The number of the question.
   * @param reachable True if the primary answers the proxy.
   */
  record Answer(long question, boolean reachable) implements PeerMessage {}

  /**
   * Tells that a proxy replaces a primary, so that others need not.
   *
   * @param pool The pool.
   */
  record Takeover(String pool) implements PeerMessage {}

  /**
   * Tells that a member proved its lead.
   *
   * @param pool The pool.
   * @param member The identifier of the member.
   * @param term The term that it leads.
   */
  record Lead(String pool, String member, long term) implements PeerMessage {}

  /**
   * Asks for the latest floor of a database.
   *
   * @param pool The pool of the database.
   * @param question The number of the question.
   */
  record FloorQuestion(String pool, long question) implements PeerMessage {}

  /**
   * Answers with the latest floor of a database.
   *
   * @param question The number of the question.
   * @param position The position of the floor.
   * @param ageMillis The age of the floor when this answer was made, in milliseconds.
   */
  record FloorAnswer(long question, LogPosition position, long ageMillis) implements PeerMessage {}

  /**
   * Tells that a member refuses new connections, so that a proxy may lack what others have too many
   * of.
   *
   * @param pool The pool.
   * @param member The identifier of the member.
   */
  record Contention(String pool, String member) implements PeerMessage {}

  /**
   * Encodes a datagram.
   *
   * @param from The name of the sending proxy.
   * @return The datagram as MessagePack.
   */
  default byte[] encode(String from) {
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packInt(FORMAT).packString(from);
      switch (this) {
        case Heartbeat beat ->
            packer
                .packInt(0)
                .packString(beat.boot)
                .packString(beat.domain)
                .packBoolean(beat.leaving)
                .packLong(beat.desiredVersion)
                .packLong(beat.memberVersion)
                .packString(beat.access.name());
        case Question question ->
            packer
                .packInt(1)
                .packString(question.pool)
                .packString(question.member)
                .packLong(question.question);
        case Answer answer ->
            packer.packInt(2).packLong(answer.question).packBoolean(answer.reachable);
        case Takeover takeover -> packer.packInt(3).packString(takeover.pool);
        case Lead lead ->
            packer.packInt(6).packString(lead.pool).packString(lead.member).packLong(lead.term);
        case Contention contention ->
            packer.packInt(7).packString(contention.pool).packString(contention.member);
        case FloorQuestion question ->
            packer.packInt(4).packString(question.pool).packLong(question.question);
        case FloorAnswer answer ->
            packer
                .packInt(5)
                .packLong(answer.question)
                .packLong(answer.position.term())
                .packLong(answer.position.index())
                .packLong(answer.ageMillis);
      }
      return packer.toByteArray();
    } catch (IOException exception) {
      throw new IllegalStateException("a buffer in memory failed", exception);
    }
  }

  /**
   * Decodes a datagram.
   *
   * @param content The datagram.
   * @return The message with its sender, or an empty optional if the datagram is malformed.
   */
  static Optional<Received> decode(byte[] content) {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
      if (unpacker.unpackInt() != FORMAT) {
        return Optional.empty();
      }
      String from = unpacker.unpackString();
      PeerMessage message =
          switch (unpacker.unpackInt()) {
            case 0 ->
                new Heartbeat(
                    unpacker.unpackString(),
                    unpacker.unpackString(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    StoreWatchState.valueOf(unpacker.unpackString()));
            case 1 ->
                new Question(
                    unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
            case 2 -> new Answer(unpacker.unpackLong(), unpacker.unpackBoolean());
            case 3 -> new Takeover(unpacker.unpackString());
            case 4 -> new FloorQuestion(unpacker.unpackString(), unpacker.unpackLong());
            case 5 ->
                new FloorAnswer(
                    unpacker.unpackLong(),
                    new LogPosition(unpacker.unpackLong(), unpacker.unpackLong()),
                    unpacker.unpackLong());
            case 6 ->
                new Lead(unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
            case 7 -> new Contention(unpacker.unpackString(), unpacker.unpackString());
            default -> null;
          };
      return Optional.ofNullable(message).map(known -> new Received(from, known));
    } catch (IOException | MessagePackException | IllegalArgumentException exception) {
      // A datagram of another program or version; the receiver counts it.
      return Optional.empty();
    }
  }

  /**
   * A received message.
   *
   * @param from The name of the sending proxy.
   * @param message The message.
   */
  record Received(String from, PeerMessage message) {}
}
