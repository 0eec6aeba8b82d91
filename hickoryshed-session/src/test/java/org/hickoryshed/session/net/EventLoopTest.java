package org.hickoryshed.session.net;

import static org.assertj.core.api.Assertions.assertThatCode;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import org.junit.jupiter.api.Test;

/** Tests that a stopped event loop frees the addresses that it was bound to. */
class EventLoopTest {

  private final EventLoop loop = new EventLoop();

  @Test
  void freesAddressOfUdpSocketWhenItStops() throws IOException {
    InetSocketAddress address = freeUdpAddress();
    loop.start();
    loop.openUdpSocket(address, (source, content) -> {});

    loop.stop();

    assertThatCode(() -> new DatagramSocket(address).close()).doesNotThrowAnyException();
  }

  @Test
  void freesAddressOfListenerWhenItStops() throws IOException {
    InetSocketAddress address;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      address = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
    }
    loop.start();
    loop.listen(address, channel -> {});

    loop.stop();

    assertThatCode(() -> new ServerSocket(address.getPort(), 1, address.getAddress()).close())
        .doesNotThrowAnyException();
  }

  @Test
  void freesAddressesWhenItNeverStarted() throws IOException {
    InetSocketAddress address = freeUdpAddress();
    loop.openUdpSocket(address, (source, content) -> {});

    loop.stop();

    assertThatCode(() -> new DatagramSocket(address).close()).doesNotThrowAnyException();
  }

  /** Finds an address that no UDP socket uses. */
  private static InetSocketAddress freeUdpAddress() throws IOException {
    try (DatagramSocket socket = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
      return new InetSocketAddress(socket.getLocalAddress(), socket.getLocalPort());
    }
  }
}
