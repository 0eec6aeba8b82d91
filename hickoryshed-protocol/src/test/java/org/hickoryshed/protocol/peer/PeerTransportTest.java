package org.hickoryshed.protocol.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.protocol.message.Message;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests of {@link PeerTransport}. */
class PeerTransportTest {

  private static final String SERVER_ADDRESS = "127.0.21.1";
  private static final int PORT = 7301;
  private static final String SERVER = SERVER_ADDRESS + ":" + PORT;
  private static final Duration LONG_TIMEOUT = Duration.ofSeconds(60);
  private static final Duration SHORT_TIMEOUT = Duration.ofMillis(50);
  private static final Message FAST = new Message.AskBarrier("fast", 1);
  private static final Message SLOW = new Message.AskBarrier("slow", 1);

  private final CountDownLatch slowRequestReleased = new CountDownLatch(1);
  private final PeerTransport server = peers(SERVER_ADDRESS, PORT);
  private final PeerTransport client = peers("127.0.21.2", PORT);

  @BeforeEach
  void start() {
    server.start();
    client.start();
  }

  @AfterEach
  void stop() {
    slowRequestReleased.countDown();
    client.stop();
    server.stop();
  }

  @Test
  void returnsReplyToItsOwnRequestWhileAnotherIsSlow() throws InterruptedException {
    Thread waiting = Thread.ofVirtual().start(() -> client.call(SERVER, SLOW, LONG_TIMEOUT));

    assertThat(client.call(SERVER, FAST, LONG_TIMEOUT)).isEqualTo(Result.success(barrier(4)));

    slowRequestReleased.countDown();
    waiting.join();
  }

  @Test
  void dropsReplyToAbandonedRequest() {
    assertThat(client.call(SERVER, SLOW, SHORT_TIMEOUT))
        .isInstanceOfSatisfying(
            Result.Failed.class,
            failed -> assertThat(failed.failure()).isInstanceOf(PeerFailure.NoAnswer.class));
    slowRequestReleased.countDown();

    assertThat(client.call(SERVER, FAST, LONG_TIMEOUT)).isEqualTo(Result.success(barrier(4)));
  }

  @Test
  void reportsRequestThatWasNotSent() {
    Result<Message, PeerFailure> result = client.call("127.0.21.9:7301", FAST, LONG_TIMEOUT);

    assertThat(result)
        .isInstanceOfSatisfying(
            Result.Failed.class,
            failed -> assertThat(failed.failure()).isInstanceOf(PeerFailure.NotSent.class));
  }

  @Test
  void closesConnectionToSilentPeer() throws IOException {
    try (ServerSocket frozen = new ServerSocket(0, 5, InetAddress.getByName("127.0.21.3"))) {
      String address = "127.0.21.3:" + frozen.getLocalPort();

      Result<Message, PeerFailure> result = client.call(address, FAST, LONG_TIMEOUT);

      assertThat(result)
          .isEqualTo(
              Result.failure(new PeerFailure.NoAnswer("java.io.IOException: the peer is silent")));
    }
  }

  @Test
  void keepsConnectionToSlowPeer() throws InterruptedException {
    Thread release =
        Thread.ofVirtual()
            .start(
                () -> {
                  pause();
                  slowRequestReleased.countDown();
                });

    assertThat(client.call(SERVER, SLOW, LONG_TIMEOUT)).isEqualTo(Result.success(barrier(4)));
    release.join();
  }

  private static void pause() {
    try {
      new CountDownLatch(1).await(2, java.util.concurrent.TimeUnit.SECONDS);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  private Message respond(Message message) {
    if (message.equals(SLOW)) {
      try {
        slowRequestReleased.await();
      } catch (InterruptedException exception) {
        Thread.currentThread().interrupt();
      }
    }
    return barrier(message instanceof Message.AskBarrier request ? request.database().length() : 0);
  }

  private static Message barrier(long index) {
    return new Message.Barrier(Optional.of(new LogPosition(1, index)));
  }

  private PeerTransport peers(String address, int port) {
    EventRecorder recorder = new EventRecorder(address, "run", InstantSource.system());
    return new PeerTransport(
        new InetSocketAddress(address, port), this::respond, recorder, new Metrics());
  }
}
