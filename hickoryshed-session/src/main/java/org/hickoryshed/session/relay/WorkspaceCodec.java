package org.hickoryshed.session.relay;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.workspace.Workspace;
import org.hickoryshed.decision.workspace.Workspaces;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** Encodes and decodes the workspaces and the public routes of a desired state. */
final class WorkspaceCodec {

  private WorkspaceCodec() {}

  /**
   * Writes the workspaces and the names of the databases with public routes.
   *
   * @throws IOException If the buffer fails.
   */
  static void write(MessagePacker packer, DesiredState desired) throws IOException {
    packer.packInt(desired.workspaces().all().size());
    for (Workspace workspace : desired.workspaces().all()) {
      packer
          .packString(workspace.name())
          .packDouble(workspace.ratePerSecond())
          .packLong(workspace.burst())
          .packInt(workspace.keys().size());
      for (String key : workspace.keys()) {
        packer.packString(key);
      }
    }
    List<DatabaseRoute> open =
        desired.routes().values().stream().filter(DatabaseRoute::isPublic).toList();
    packer.packInt(open.size());
    for (DatabaseRoute route : open) {
      packer.packString(route.database());
    }
  }

  /**
   * Reads what {@link #write} wrote.
   *
   * @param desired The desired state without workspaces and public routes.
   * @return The desired state with them.
   * @throws IOException If the content ends early.
   */
  static DesiredState read(MessageUnpacker unpacker, DesiredState desired) throws IOException {
    List<Workspace> workspaces = new ArrayList<>();
    for (int remaining = unpacker.unpackInt(); remaining > 0; remaining--) {
      String name = unpacker.unpackString();
      double ratePerSecond = unpacker.unpackDouble();
      long burst = unpacker.unpackLong();
      Set<String> keys = new HashSet<>();
      for (int keysLeft = unpacker.unpackInt(); keysLeft > 0; keysLeft--) {
        keys.add(unpacker.unpackString());
      }
      workspaces.add(new Workspace(name, keys, ratePerSecond, burst));
    }
    Map<String, DatabaseRoute> routes = new HashMap<>(desired.routes());
    for (int remaining = unpacker.unpackInt(); remaining > 0; remaining--) {
      routes.computeIfPresent(unpacker.unpackString(), (name, route) -> route.asPublic());
    }
    return new DesiredState(
        desired.version(),
        Map.copyOf(routes),
        desired.pools(),
        desired.transactionIdleMillis(),
        Workspaces.of(workspaces));
  }
}
