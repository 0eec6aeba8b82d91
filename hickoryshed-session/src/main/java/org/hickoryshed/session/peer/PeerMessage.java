package org.hickoryshed.session.peer;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.membership.StoreWatchState;
import org.hickoryshed.decision.promotion.LeaseParticipant;
import org.hickoryshed.decision.topology.LogPosition;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * A datagram between two proxies.
 *
 * <p>Encoded in MessagePack: the format version, the name of the sender, the number of the kind and
 * the fields. The numbers and the order of the fields are part of the format.
 */
public sealed interface PeerMessage {

  /** The version of the format; datagrams of another version are dropped. */
  int FORMAT = 4;

  /**
   * Tells that a proxy is alive.
   *
   * @param boot The identifier of the run of the proxy; a restart changes it.
   * @param domain The failure domain of the proxy.
   * @param leaving True if the proxy is shutting down.
   * @param desiredVersion The version of the desired state in force at the proxy.
   * @param memberVersion The store revision of the latest change of the members that the proxy
   *     knows.
   * @param storeWatchState What the proxy knows about the store from its own calls.
   */
  record Heartbeat(
      String boot,
      String domain,
      boolean leaving,
      long desiredVersion,
      long memberVersion,
      StoreWatchState storeWatchState)
      implements PeerMessage {}

  /**
   * Requests a check of whether a primary responds to the receiver.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the primary that the sender knows, empty if it knows none.
   * @param voteId The identifier of the vote that the response counts for.
   */
  record PrimaryProbeRequest(String pool, String member, long voteId) implements PeerMessage {}

  /**
   * The response to {@link PrimaryProbeRequest}.
   *
   * @param voteId The identifier of the vote.
   * @param reachable True if the primary responds to the sender.
   */
  record PrimaryProbeResponse(long voteId, boolean reachable) implements PeerMessage {}

  /**
   * Tells that the sender has recorded a promotion, so that others leave the failover to it.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member to promote.
   */
  record PromotionRecorded(String pool, String member) implements PeerMessage {}

  /**
   * Tells that a member has proven to be the primary.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member.
   * @param term The term in which it is the primary.
   */
  record PrimaryProven(String pool, String member, long term) implements PeerMessage {}

  /**
   * Requests the latest floor of a database; see {@link FloorExchange}.
   *
   * @param pool The name of the pool.
   * @param requestId The identifier of the request.
   */
  record FloorRequest(String pool, long requestId) implements PeerMessage {}

  /**
   * The response to {@link FloorRequest}.
   *
   * @param requestId The identifier of the request.
   * @param position The log position of the floor.
   * @param ageMillis The age of the floor when this response was made, in milliseconds.
   */
  record FloorResponse(long requestId, LogPosition position, long ageMillis)
      implements PeerMessage {}

  /**
   * Tells that a member refuses new connections, so that proxies with more than their fair share
   * give some up.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member.
   */
  record Contention(String pool, String member) implements PeerMessage {}

  /**
   * Requests tokens of a workspace's quota, each of which admits one operation.
   *
   * @param workspace The name of the workspace.
   * @param requestId The identifier of the request.
   * @param wanted The number of tokens wanted.
   */
  record TokenRequest(String workspace, long requestId, int wanted) implements PeerMessage {

    /** Rejects a number that would return tokens to the granting proxy. */
    public TokenRequest {
      if (wanted < 1) {
        throw new IllegalArgumentException("no token is wanted");
      }
    }
  }

  /**
   * The response to {@link TokenRequest}.
   *
   * @param workspace The name of the workspace.
   * @param requestId The identifier of the request.
   * @param tokens The number of tokens granted.
   * @param waitMillis The time in milliseconds after which to ask again, zero if all that was
   *     wanted was granted, negative if the sender grants no tokens of the workspace.
   */
  record TokenGrant(String workspace, long requestId, int tokens, long waitMillis)
      implements PeerMessage {

    private static final long MAX_WAIT_MILLIS = 86_400_000;

    /** Rejects a negative number of tokens, and times that can't be added to others. */
    public TokenGrant {
      if (tokens < 0 || waitMillis > MAX_WAIT_MILLIS) {
        throw new IllegalArgumentException("not a grant");
      }
    }
  }

  /**
   * Tells a proxy that has just started for how long the sender has known it.
   *
   * @param knownMillis The time in milliseconds.
   */
  record Acquaintance(long knownMillis) implements PeerMessage {}

  /**
   * The response to {@link PromotionRecorded}: the sender uses no other member than the one that is
   * to be promoted, for a while.
   *
   * @param pool The name of the pool.
   * @param member The identifier of the member to promote.
   */
  record PromotionPromised(String pool, String member) implements PeerMessage {}

  /**
   * Asks if the receiver has the same primaries as the sender and knows of no promotion of another
   * member.
   *
   * @param round The identifier of the sender's round of requests.
   * @param primaries The hash of each primary that is asked about; see {@link #hash}.
   */
  record LeaseRequest(long round, List<Integer> primaries) implements PeerMessage {

    /** Copies the hashes. */
    public LeaseRequest {
      primaries = List.copyOf(primaries);
    }

    /**
     * Returns what stands for a primary in a request and a response.
     *
     * @param pool The name of the pool.
     * @param member The identifier of the member.
     */
    public static int hash(String pool, String member) {
      return (pool + ' ' + member).hashCode();
    }
  }

  /**
   * The response to {@link LeaseRequest}.
   *
   * @param round The identifier of the round.
   * @param ageMillis The age of the sender's own evidence for all primaries that it confirms, in
   *     milliseconds; negative if it has none.
   * @param statuses What the sender says about each primary of the request, in its order.
   */
  record LeaseResponse(long round, long ageMillis, List<LeaseParticipant.Status> statuses)
      implements PeerMessage {

    /** Copies the statuses. */
    public LeaseResponse {
      statuses = List.copyOf(statuses);
    }
  }

  /**
   * Encodes this message as a datagram.
   *
   * @param from The name of the sending proxy.
   * @return The content of the datagram.
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
                .packString(beat.storeWatchState.name());
        case PrimaryProbeRequest request ->
            packer
                .packInt(1)
                .packString(request.pool)
                .packString(request.member)
                .packLong(request.voteId);
        case PrimaryProbeResponse response ->
            packer.packInt(2).packLong(response.voteId).packBoolean(response.reachable);
        case PromotionRecorded promotion ->
            packer.packInt(8).packString(promotion.pool).packString(promotion.member);
        case PrimaryProven primary ->
            packer
                .packInt(6)
                .packString(primary.pool)
                .packString(primary.member)
                .packLong(primary.term);
        case Contention contention ->
            packer.packInt(7).packString(contention.pool).packString(contention.member);
        case PromotionPromised promise ->
            packer.packInt(12).packString(promise.pool).packString(promise.member);
        case LeaseRequest request -> pack(packer.packInt(13), request);
        case LeaseResponse response -> pack(packer.packInt(14), response);
        case FloorRequest request ->
            packer.packInt(4).packString(request.pool).packLong(request.requestId);
        case FloorResponse response ->
            packer
                .packInt(5)
                .packLong(response.requestId)
                .packLong(response.position.term())
                .packLong(response.position.index())
                .packLong(response.ageMillis);
        case TokenRequest request ->
            packer
                .packInt(9)
                .packString(request.workspace)
                .packLong(request.requestId)
                .packInt(request.wanted);
        case TokenGrant grant -> pack(packer.packInt(10), grant);
        case Acquaintance acquaintance -> packer.packInt(11).packLong(acquaintance.knownMillis);
      }
      return packer.toByteArray();
    } catch (IOException exception) {
      throw new IllegalStateException("could not write to a buffer in memory", exception);
    }
  }

  /**
   * Decodes a datagram.
   *
   * @param content The content of the datagram.
   * @return The message with its sender, or an empty optional if the datagram is malformed, of
   *     another format version or of an unknown kind.
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
                new PrimaryProbeRequest(
                    unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
            case 2 -> new PrimaryProbeResponse(unpacker.unpackLong(), unpacker.unpackBoolean());
            case 4 -> new FloorRequest(unpacker.unpackString(), unpacker.unpackLong());
            case 5 ->
                new FloorResponse(
                    unpacker.unpackLong(),
                    new LogPosition(unpacker.unpackLong(), unpacker.unpackLong()),
                    unpacker.unpackLong());
            case 6 ->
                new PrimaryProven(
                    unpacker.unpackString(), unpacker.unpackString(), unpacker.unpackLong());
            case 7 -> new Contention(unpacker.unpackString(), unpacker.unpackString());
            case 8 -> new PromotionRecorded(unpacker.unpackString(), unpacker.unpackString());
            case 12 -> new PromotionPromised(unpacker.unpackString(), unpacker.unpackString());
            case 13 -> new LeaseRequest(unpacker.unpackLong(), unpackHashes(unpacker));
            case 14 ->
                new LeaseResponse(
                    unpacker.unpackLong(), unpacker.unpackLong(), unpackStatuses(unpacker));
            case 9 ->
                new TokenRequest(
                    unpacker.unpackString(), unpacker.unpackLong(), unpacker.unpackInt());
            case 10 ->
                new TokenGrant(
                    unpacker.unpackString(),
                    unpacker.unpackLong(),
                    unpacker.unpackInt(),
                    unpacker.unpackLong());
            case 11 -> new Acquaintance(unpacker.unpackLong());
            default -> null;
          };
      return Optional.ofNullable(message).map(known -> new Received(from, known));
    } catch (IOException | MessagePackException | IllegalArgumentException exception) {
      // A datagram of another program or version; the receiver counts it.
      return Optional.empty();
    }
  }

  private static void pack(MessagePacker packer, TokenGrant grant) throws IOException {
    packer.packString(grant.workspace).packLong(grant.requestId);
    packer.packInt(grant.tokens).packLong(grant.waitMillis);
  }

  private static void pack(MessagePacker packer, LeaseRequest request) throws IOException {
    packer.packLong(request.round);
    packHashes(packer, request.primaries);
  }

  private static void pack(MessagePacker packer, LeaseResponse response) throws IOException {
    packer.packLong(response.round).packLong(response.ageMillis);
    packHashes(packer, response.statuses.stream().map(Enum::ordinal).toList());
  }

  private static void packHashes(MessagePacker packer, List<Integer> hashes) throws IOException {
    packer.packArrayHeader(hashes.size());
    for (int hash : hashes) {
      packer.packInt(hash);
    }
  }

  private static List<Integer> unpackHashes(MessageUnpacker unpacker) throws IOException {
    int size = unpacker.unpackArrayHeader();
    List<Integer> hashes = new ArrayList<>();
    for (int index = 0; index < size; index++) {
      hashes.add(unpacker.unpackInt());
    }
    return hashes;
  }

  private static List<LeaseParticipant.Status> unpackStatuses(MessageUnpacker unpacker)
      throws IOException {
    LeaseParticipant.Status[] known = LeaseParticipant.Status.values();
    List<LeaseParticipant.Status> statuses = new ArrayList<>();
    for (int number : unpackHashes(unpacker)) {
      if (number < 0 || number >= known.length) {
        throw new IllegalArgumentException("unknown status " + number);
      }
      statuses.add(known[number]);
    }
    return statuses;
  }

  /**
   * A received message.
   *
   * @param from The name of the sending proxy.
   * @param message The message.
   */
  record Received(String from, PeerMessage message) {}
}
