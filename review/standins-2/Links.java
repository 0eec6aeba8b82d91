import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The links between the proxies: each proxy is reached by the others through forwarders of
 * datagrams and connections, which can drop everything to and from one proxy.
 *
 * <p>A sender appears to the receiver at an address of the links too, so that answers and
 * connections back take the same way.
 */
final class Links implements AutoCloseable {

  private final List<AutoCloseable> sockets = new ArrayList<>();

  /** The address at which others reach a proxy, by its own address. */
  private final Map<InetSocketAddress, InetSocketAddress> fronts = new HashMap<>();

  /** The address at which a proxy appears to another one, by both addresses. */
  private final Map<List<InetSocketAddress>, DatagramSocket> appearances = new HashMap<>();

  /** The proxy that is cut off, null for none. */
  private volatile InetSocketAddress cutOff;

  /** Cuts a proxy off from all others, silently; null heals the cut. */
  void cut(InetSocketAddress proxy) {
    cutOff = proxy;
  }

  /** Returns the address at which others reach a proxy. */
  synchronized InetSocketAddress front(InetSocketAddress proxy) {
    return fronts.computeIfAbsent(
        proxy,
        target -> {
          try {
            DatagramSocket datagrams = open();
            serve(datagrams, (source, packet) -> pass(source, target, packet));
            InetSocketAddress address = (InetSocketAddress) datagrams.getLocalSocketAddress();
            ServerSocket listener = listen(address);
            Thread.ofVirtual().start(() -> accept(listener, target, target));
            return address;
          } catch (IOException exception) {
            throw new java.io.UncheckedIOException(exception);
          }
        });
  }

  private interface Receiver {
    void accept(InetSocketAddress source, DatagramPacket packet) throws IOException;
  }

  private static DatagramSocket open() throws IOException {
    return new DatagramSocket(0, InetAddress.getByName("127.0.4.1"));
  }

  private ServerSocket listen(InetSocketAddress address) throws IOException {
    ServerSocket listener = new ServerSocket(address.getPort(), 50, address.getAddress());
    sockets.add(listener);
    return listener;
  }

  private synchronized void serve(DatagramSocket socket, Receiver receiver) {
    sockets.add(socket);
    Thread.ofPlatform()
        .daemon()
        .start(
            () -> {
              while (!socket.isClosed()) {
                try {
                  DatagramPacket packet = new DatagramPacket(new byte[9000], 9000);
                  socket.receive(packet);
                  receiver.accept((InetSocketAddress) packet.getSocketAddress(), packet);
                } catch (IOException exception) {
                  // Closed, or the receiver is gone; a datagram may be lost.
                }
              }
            });
  }

  private void pass(InetSocketAddress source, InetSocketAddress target, DatagramPacket packet)
      throws IOException {
    if (!isCut(source, target)) {
      DatagramSocket from = appearance(source, target);
      from.send(new DatagramPacket(packet.getData(), packet.getLength(), target));
    }
  }

  /** Returns the socket from which a proxy hears of another one. */
  private synchronized DatagramSocket appearance(
      InetSocketAddress source, InetSocketAddress target) throws IOException {
    List<InetSocketAddress> key = List.of(source, target);
    DatagramSocket known = appearances.get(key);
    if (known == null) {
      known = open();
      DatagramSocket opened = known;
      appearances.put(key, opened);
      // What the target sends to this address is for the source.
      serve(opened, (sender, packet) -> pass(sender, source, packet));
      ServerSocket listener = listen((InetSocketAddress) opened.getLocalSocketAddress());
      Thread.ofVirtual().start(() -> accept(listener, target, source));
    }
    return known;
  }

  private boolean isCut(InetSocketAddress one, InetSocketAddress other) {
    InetSocketAddress cut = cutOff;
    return cut != null && (cut.equals(one) || cut.equals(other));
  }

  /** Forwards connections; what is sent while an end is cut off is dropped with the connection. */
  private void accept(ServerSocket listener, InetSocketAddress one, InetSocketAddress target) {
    while (!listener.isClosed()) {
      try {
        Socket accepted = listener.accept();
        Socket opened = new Socket(target.getAddress(), target.getPort());
        Thread.ofVirtual().start(() -> copy(accepted, opened, one, target));
        Thread.ofVirtual().start(() -> copy(opened, accepted, one, target));
      } catch (IOException exception) {
        // Closed, or the target does not listen.
      }
    }
  }

  private void copy(Socket from, Socket to, InetSocketAddress one, InetSocketAddress target) {
    byte[] buffer = new byte[16 * 1024];
    try (from;
        to) {
      for (int count = from.getInputStream().read(buffer);
          count >= 0;
          count = from.getInputStream().read(buffer)) {
        while (isCut(one, target) || isCutHost(from) || isCutHost(to)) {
          Platform.pause(20);
        }
        to.getOutputStream().write(buffer, 0, count);
        to.getOutputStream().flush();
      }
    } catch (IOException exception) {
      // An end is gone; both are closed.
    }
  }

  /** Checks if the other end of a connection is on the machine that is cut off. */
  private boolean isCutHost(Socket socket) {
    InetSocketAddress cut = cutOff;
    return cut != null && cut.getAddress().equals(socket.getInetAddress());
  }

  @Override
  public synchronized void close() {
    for (AutoCloseable socket : sockets) {
      try {
        socket.close();
      } catch (Exception exception) {
        // It is closed already.
      }
    }
  }
}
