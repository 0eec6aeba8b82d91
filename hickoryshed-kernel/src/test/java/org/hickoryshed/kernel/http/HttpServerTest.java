package org.hickoryshed.kernel.http;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests of draining and stopping an HTTP server. */
class HttpServerTest {

  private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(20);
  private static final int MAX_TRIES = 1000;

  private InetSocketAddress address;
  private HttpServer server;

  @BeforeEach
  void start() throws IOException {
    try (ServerSocket free = new ServerSocket()) {
      free.bind(new InetSocketAddress("127.0.0.1", 0));
      address = new InetSocketAddress("127.0.0.1", free.getLocalPort());
    }
    server = new HttpServer(address, exchange -> exchange.getResponseSender().send("answer"));
    server.start();
  }

  @AfterEach
  void stop() {
    server.stop();
  }

  @Test
  void servesOpenConnectionsAndRefusesNewOnesWhileDraining() throws Exception {
    try (Socket open = new Socket(address.getAddress(), address.getPort())) {
      assertThat(requestHead(open)).startsWith("HTTP/1.1 200").doesNotContain("Connection: close");
      CompletableFuture<Boolean> drained =
          CompletableFuture.supplyAsync(() -> server.drain(DRAIN_TIMEOUT));
      awaitRefusal();

      assertThat(requestHead(open)).startsWith("HTTP/1.1 200").contains("Connection: close");

      assertThat(open.getInputStream().read()).isEqualTo(-1);
      assertThat(drained.get()).isTrue();
    }
    assertThatThrownBy(this::connect).isInstanceOf(ConnectException.class);
  }

  @Test
  void drainsAlthoughCallerKeepsIdleConnection() throws Exception {
    try (Socket open = new Socket(address.getAddress(), address.getPort())) {
      assertThat(requestHead(open)).startsWith("HTTP/1.1 200");
      assertThat(server.drain(DRAIN_TIMEOUT)).isTrue();
    }
  }

  @Test
  @Timeout(10)
  void canBeStoppedTwice() throws Exception {
    try (Socket open = new Socket(address.getAddress(), address.getPort())) {
      assertThat(requestHead(open)).startsWith("HTTP/1.1 200");
      server.stop();
      server.stop();
    }
  }

  private void awaitRefusal() throws Exception {
    for (int tries = 0; tries < MAX_TRIES; tries++) {
      try {
        connect();
      } catch (ConnectException exception) {
        return;
      } catch (SocketException exception) {
        // The kernel resets connections that were not accepted when the socket is closed.
        assertThat(exception).hasMessageContaining("reset");
      }
      Thread.sleep(5);
    }
    throw new AssertionError("new connections are accepted");
  }

  private void connect() throws IOException {
    new Socket(address.getAddress(), address.getPort()).close();
  }

  /** Sends a request, checks the body of the response and returns its status line and headers. */
  private static String requestHead(Socket socket) throws IOException {
    socket
        .getOutputStream()
        .write("GET / HTTP/1.1\r\nHost: proxy\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
    BufferedReader reader =
        new BufferedReader(
            new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII), 1);
    StringBuilder head = new StringBuilder();
    for (String line = reader.readLine(); !line.isEmpty(); line = reader.readLine()) {
      head.append(line).append('\n');
    }
    char[] body = new char["answer".length()];
    for (int read = 0; read < body.length; read++) {
      body[read] = (char) reader.read();
    }
    assertThat(new String(body)).isEqualTo("answer");
    return head.toString();
  }
}
