package org.hickoryshed.session.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.directory.MemberList;
import org.hickoryshed.kernel.settings.Addresses;
import org.hickoryshed.session.directory.DirectoryUpdate;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes a {@link DirectoryUpdate} as the last part of a relay message. The order of
 * the fields is fixed, as for all relay messages. The workspaces follow at the very end, and only
 * where they are used, since older versions ignore what follows the fields that they know.
 */
final class DirectoryCodec {

  private DirectoryCodec() {}

  /**
   * Writes an update.
   *
   * @throws IOException If the buffer fails.
   */
  static void write(MessagePacker packer, DirectoryUpdate update) throws IOException {
    packer.packBoolean(update.desired().isPresent());
    if (update.desired().isPresent()) {
      writeDesired(packer, update.desired().get());
    }
    packer.packBoolean(update.members().isPresent());
    if (update.members().isPresent()) {
      writeMembers(packer, update.members().get());
    }
    packer.packInt(update.proxies().size());
    for (Map.Entry<String, String> proxy : update.proxies().entrySet()) {
      packer.packString(proxy.getKey()).packString(proxy.getValue());
    }
    if (update.desired().map(desired -> desired.workspaces().areUsed()).orElse(false)) {
      WorkspaceCodec.write(packer, update.desired().get());
    }
  }

  /**
   * Reads an update.
   *
   * @throws IOException If the content ends early.
   */
  static DirectoryUpdate read(MessageUnpacker unpacker) throws IOException {
    Optional<DesiredState> desired =
        unpacker.unpackBoolean() ? Optional.of(readDesired(unpacker)) : Optional.empty();
    Optional<MemberList> members =
        unpacker.unpackBoolean() ? Optional.of(readMembers(unpacker)) : Optional.empty();
    Map<String, String> proxies = new HashMap<>();
    for (int remaining = unpacker.unpackInt(); remaining > 0; remaining--) {
      proxies.put(unpacker.unpackString(), unpacker.unpackString());
    }
    if (desired.isPresent() && unpacker.hasNext()) {
      desired = Optional.of(WorkspaceCodec.read(unpacker, desired.get()));
    }
    return new DirectoryUpdate(desired, members, proxies);
  }

  private static void writeDesired(MessagePacker packer, DesiredState desired) throws IOException {
    packer.packLong(desired.version()).packLong(desired.transactionIdleMillis());
    packer.packInt(desired.routes().size());
    for (DatabaseRoute route : desired.routes().values()) {
      packer
          .packString(route.database())
          .packString(route.pool())
          .packString(route.freshness().name())
          .packLong(route.maximumAgeMillis())
          .packLong(route.statementTimeoutMillis())
          .packLong(route.latencyTargetMillis())
          .packInt(route.priority());
    }
    packer.packInt(desired.pools().size());
    for (DesiredState.PoolEntry pool : desired.pools().values()) {
      packer.packString(pool.name()).packInt(pool.connections()).packInt(pool.confirmingReplicas());
    }
  }

  private static DesiredState readDesired(MessageUnpacker unpacker) throws IOException {
    long version = unpacker.unpackLong();
    long transactionIdleMillis = unpacker.unpackLong();
    Map<String, DatabaseRoute> routes = new HashMap<>();
    for (int remaining = unpacker.unpackInt(); remaining > 0; remaining--) {
      DatabaseRoute route =
          new DatabaseRoute(
              unpacker.unpackString(),
              unpacker.unpackString(),
              DatabaseRoute.Freshness.valueOf(unpacker.unpackString()),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackLong(),
              unpacker.unpackInt());
      routes.put(route.database(), route);
    }
    Map<String, DesiredState.PoolEntry> pools = new HashMap<>();
    for (int remaining = unpacker.unpackInt(); remaining > 0; remaining--) {
      DesiredState.PoolEntry pool =
          new DesiredState.PoolEntry(
              unpacker.unpackString(), unpacker.unpackInt(), unpacker.unpackInt());
      pools.put(pool.name(), pool);
    }
    return new DesiredState(version, Map.copyOf(routes), Map.copyOf(pools), transactionIdleMillis);
  }

  /** Writes the members; the absence of the last change is written as zero. */
  private static void writeMembers(MessagePacker packer, MemberList members) throws IOException {
    packer
        .packLong(members.revision())
        .packLong(members.lastChangeRevision().orElse(0))
        .packInt(members.entries().size());
    for (MemberEntry entry : members.entries()) {
      packer
          .packString(entry.id())
          .packString(entry.pool())
          .packString(entry.address())
          .packString(entry.domain())
          .packInt(entry.slots())
          .packBoolean(entry.draining())
          .packBoolean(entry.primary())
          .packLong(entry.bornMillis())
          .packLong(entry.revision());
    }
  }

  /** Reads the members; those without a usable address are left out, as no session needs them. */
  private static MemberList readMembers(MessageUnpacker unpacker) throws IOException {
    long revision = unpacker.unpackLong();
    long lastChangeRevision = unpacker.unpackLong();
    List<MemberEntry> entries = new ArrayList<>();
    for (int remaining = unpacker.unpackInt(); remaining > 0; remaining--) {
      MemberEntry entry =
          new MemberEntry(
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackInt(),
              unpacker.unpackBoolean(),
              unpacker.unpackBoolean(),
              unpacker.unpackLong(),
              unpacker.unpackLong());
      if (Addresses.isAddress(entry.address())) {
        entries.add(entry);
      }
    }
    return new MemberList(
        revision,
        lastChangeRevision == 0 ? OptionalLong.empty() : OptionalLong.of(lastChangeRevision),
        List.copyOf(entries));
  }
}
