package org.hickoryshed.session.directory;

import java.util.Optional;
import java.util.function.Consumer;

/** The way to ask other proxies for the directory. */
public interface DirectoryClient {

  /**
   * Asks a proxy for what it knows.
   *
   * @param proxy The name of the proxy.
   * @param question The question.
   * @param receiver Receives the answer, or an empty optional if there is none.
   */
  void askDirectory(
      String proxy, DirectoryRequest question, Consumer<Optional<DirectoryUpdate>> receiver);
}
