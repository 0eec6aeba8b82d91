package org.hickoryshed.session.net;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.function.Consumer;
import org.tinylog.Logger;

/** A listening channel of an event loop and the receiver of the channels that it accepts. */
final class TcpListener {

  /** The pause after a failure to accept, mostly for want of descriptors. */
  private static final long PAUSE_MILLIS = 100;

  private final EventLoop loop;
  private final ServerSocketChannel channel;
  private final Consumer<SocketChannel> acceptor;
  private SelectionKey key;

  TcpListener(EventLoop loop, ServerSocketChannel channel, Consumer<SocketChannel> acceptor) {
    this.loop = loop;
    this.channel = channel;
    this.acceptor = acceptor;
  }

  /** Sets the key of the channel; called once. */
  void attach(SelectionKey registered) {
    key = registered;
  }

  /** Accepts all waiting connections. */
  void accept() {
    try {
      for (SocketChannel next = channel.accept(); next != null; next = channel.accept()) {
        acceptor.accept(next);
      }
    } catch (IOException exception) {
      Logger.warn("accepting a connection failed: {}", exception.getMessage());
      pause();
    }
  }

  /** Accepts nothing for a while, as the next try would fail at once. */
  private void pause() {
    key.interestOps(0);
    loop.schedule(
        PAUSE_MILLIS,
        () -> {
          if (key.isValid()) {
            key.interestOps(SelectionKey.OP_ACCEPT);
          }
        });
  }
}
