package org.hickoryshed.session.directory;

import java.util.Optional;
import java.util.function.Consumer;

/** Requests the directory from other proxies. */
public interface DirectoryClient {

  /**
   * Requests what a proxy knows beyond the given versions; called on the event loop.
   *
   * @param proxy The name of the proxy.
   * @param request The versions that are known here.
   * @param receiver Receives the response on the event loop, possibly within this call, or an empty
   *     optional if the request can't be sent or its link ends.
   */
  void requestDirectory(
      String proxy, DirectoryRequest request, Consumer<Optional<DirectoryUpdate>> receiver);
}
