package org.hickoryshed.session.net;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.util.function.BiConsumer;
import org.tinylog.Logger;

/** A datagram socket that is owned by the event loop. */
public final class UdpSocket {

  /** The size of the largest datagram in bytes. */
  private static final int LARGEST = 8 * 1024;

  /** The channel. */
  private final DatagramChannel channel;

  /** The receiver of the datagrams. */
  private final BiConsumer<InetSocketAddress, byte[]> receiver;

  /** The buffer of a received datagram. */
  private final ByteBuffer input = ByteBuffer.allocate(LARGEST);

  /**
   * Creates a new socket.
   *
   * @param channel The channel.
   * @param receiver The receiver of the datagrams.
   */
  UdpSocket(DatagramChannel channel, BiConsumer<InetSocketAddress, byte[]> receiver) {
    this.channel = channel;
    this.receiver = receiver;
  }

  /**
   * Sends a datagram; it may be lost.
   *
   * @param address The address of the receiver.
   * @param content The content.
   */
  public void send(InetSocketAddress address, byte[] content) {
    try {
      channel.send(ByteBuffer.wrap(content), address);
    } catch (IOException exception) {
      Logger.debug("a datagram to {} was not sent: {}", address, exception.getMessage());
    }
  }

  /** Receives all datagrams that wait. */
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
      Logger.debug("a datagram was not received: {}", exception.getMessage());
    }
  }
}
