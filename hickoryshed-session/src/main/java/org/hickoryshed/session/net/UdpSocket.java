package org.hickoryshed.session.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.function.BiConsumer;
import org.tinylog.Logger;

/** A non-blocking UDP socket, confined to the thread of its event loop. */
public final class UdpSocket {

  /** Longer datagrams are truncated when they are received. */
  private static final int MAX_DATAGRAM_BYTES = 8 * 1024;

  private final DatagramChannel channel;
  private final BiConsumer<InetSocketAddress, byte[]> receiver;
  private final ByteBuffer input = ByteBuffer.allocate(MAX_DATAGRAM_BYTES);

  UdpSocket(DatagramChannel channel, BiConsumer<InetSocketAddress, byte[]> receiver) {
    this.channel = channel;
    this.receiver = receiver;
  }

  /**
   * Sends a datagram, which may be lost; a failure to send is only logged.
   *
   * @param address The destination.
   */
  public void send(InetSocketAddress address, byte[] content) {
    try {
      channel.send(ByteBuffer.wrap(content), address);
    } catch (IOException exception) {
      Logger.debug("sending a datagram to {} failed: {}", address, exception.getMessage());
    }
  }

  /** Passes all datagrams that have arrived to the receiver. */
  void onReady() {
    try {
      InetSocketAddress source = (InetSocketAddress) channel.receive(input);
      while (source != null) {
        byte[] content = new byte[input.flip().remaining()];
        input.get(content).clear();
        receiver.accept(source, content);
        source = (InetSocketAddress) channel.receive(input);
      }
    } catch (IOException exception) {
      Logger.debug("receiving a datagram failed: {}", exception.getMessage());
    }
  }
}
