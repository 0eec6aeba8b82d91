package org.hickoryshed.protocol.peer;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.protocol.message.Frame;
import org.hickoryshed.protocol.message.FrameCodec;
import org.hickoryshed.protocol.message.Message;

/** A connection to a peer that carries requests and replies of both sides. */
final class PeerConnection {

  /** The number of frames that wait to be written at most. */
  private static final int OUTGOING = 1024;

  /** The number of requests of the peer that are handled at once. */
  private static final int CONCURRENT_REQUESTS = 1024;

  /** The time between two heartbeats while a request waits. */
  private static final Duration HEARTBEAT = Duration.ofMillis(250);

  /** The time in nanoseconds after which a peer that sends nothing is given up. */
  private static final long SILENCE_LIMIT = Duration.ofMillis(1200).toNanos();

  /** The size of the buffers in bytes. */
  private static final int BUFFER_SIZE = 16 * 1024;

  /** The socket. */
  private final Socket socket;

  /** The handler of the requests of the peer. */
  private final UnaryOperator<Message> handler;

  /** The event recorder, which carries the hybrid logical clock. */
  private final EventRecorder recorder;

  /** The metrics. */
  private final Metrics metrics;

  /** The encoded frames that wait to be written. */
  private final BlockingQueue<byte[]> outgoing = new ArrayBlockingQueue<>(OUTGOING);

  /** The permits to handle requests of the peer. */
  private final Semaphore permits = new Semaphore(CONCURRENT_REQUESTS);

  /** The requests that wait for their replies. */
  private final Map<Long, CompletableFuture<Message>> pending = new ConcurrentHashMap<>();

  /** The identifier of the latest request. */
  private final AtomicLong latest = new AtomicLong();

  /** True while the connection is usable. */
  private volatile boolean open = true;

  /** The time in nanoseconds at which the peer was last heard or had nothing to answer. */
  private volatile long heardAt = System.nanoTime();

  /**
   * Creates a new connection.
   *
   * @param socket The connected socket.
   * @param handler The handler of the requests of the peer.
   * @param recorder The event recorder.
   * @param metrics The metrics.
   */
  PeerConnection(
      Socket socket, UnaryOperator<Message> handler, EventRecorder recorder, Metrics metrics) {
    this.socket = socket;
    this.handler = handler;
    this.recorder = recorder;
    this.metrics = metrics;
  }

  /** Starts the reader and the writer. */
  void start() {
    Thread.ofVirtual().name("peer-reader").start(this::readFrames);
    Thread.ofVirtual().name("peer-writer").start(this::writeFrames);
    Thread.ofVirtual().name("peer-heartbeat").start(this::watchPeer);
  }

  /**
   * Sends a request and waits for its reply.
   *
   * @param message The request.
   * @param timeout The longest time to wait.
   * @return The reply or the reason why there is none.
   */
  Result<Message, PeerFailure> call(Message message, Duration timeout) {
    long id = latest.incrementAndGet();
    CompletableFuture<Message> reply = new CompletableFuture<>();
    pending.put(id, reply);
    try {
      if (!open || !offer(new Frame(id, false, recorder.nextTime(), message))) {
        return Result.failure(new PeerFailure.NotSent("the connection is closed or congested"));
      }
      return Result.success(reply.get(timeout.toMillis(), TimeUnit.MILLISECONDS));
    } catch (TimeoutException exception) {
      return Result.failure(new PeerFailure.NoAnswer("no reply within " + timeout));
    } catch (ExecutionException exception) {
      return Result.failure(new PeerFailure.NoAnswer(String.valueOf(exception.getCause())));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return Result.failure(new PeerFailure.NoAnswer("interrupted"));
    } finally {
      pending.remove(id);
    }
  }

  /**
   * Checks if the connection is usable.
   *
   * @return {@code true} if the connection is usable.
   */
  boolean isOpen() {
    return open;
  }

  /**
   * Closes the connection and fails all requests that wait.
   *
   * @param cause The cause.
   */
  void close(IOException cause) {
    open = false;
    try {
      socket.close();
    } catch (IOException exception) {
      metrics.counter("peer_close_failures", "cause", "close").inc();
    }
    pending.values().forEach(reply -> reply.completeExceptionally(cause));
  }

  /**
   * Encodes a frame and offers it to the writer.
   *
   * @param frame The frame.
   * @return {@code true} if the frame was taken.
   */
  private boolean offer(Frame frame) {
    try {
      return outgoing.offer(FrameCodec.encode(frame));
    } catch (IOException exception) {
      metrics.counter("peer_frames_refused", "cause", "encoding").inc();
      return false;
    }
  }

  /** Writes frames until the connection closes. */
  private void writeFrames() {
    try (DataOutputStream output =
        new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_SIZE))) {
      while (open) {
        byte[] next = outgoing.poll(1, TimeUnit.SECONDS);
        while (next != null) {
          FrameCodec.write(output, next);
          next = outgoing.poll();
        }
        output.flush();
      }
    } catch (IOException exception) {
      close(exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      close(new IOException(exception));
    }
  }

  /** Gives a peer up that is silent while a request waits, because it is frozen or cut off. */
  private void watchPeer() {
    try {
      while (open) {
        Thread.sleep(HEARTBEAT);
        if (pending.isEmpty()) {
          heardAt = System.nanoTime();
        } else if (System.nanoTime() - heardAt > SILENCE_LIMIT) {
          metrics.counter("peers_given_up", "cause", "silence").inc();
          close(new IOException("the peer is silent"));
        } else {
          offer(
              new Frame(
                  latest.incrementAndGet(), false, recorder.nextTime(), new Message.Heartbeat()));
        }
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads frames until the connection closes. */
  private void readFrames() {
    try (DataInputStream input =
        new DataInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_SIZE))) {
      while (open) {
        Frame frame = FrameCodec.read(input);
        heardAt = System.nanoTime();
        recorder.observe(frame.time());
        if (frame.reply()) {
          complete(frame);
        } else {
          permits.acquire();
          Thread.ofVirtual().name("peer-request").start(() -> handle(frame));
        }
      }
    } catch (IOException exception) {
      close(exception);
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      close(new IOException(exception));
    }
  }

  /**
   * Hands a reply to the request that waits for it.
   *
   * @param frame The reply.
   */
  private void complete(Frame frame) {
    CompletableFuture<Message> reply = pending.remove(frame.id());
    if (reply == null && !(frame.message() instanceof Message.Heartbeat)) {
      metrics.counter("late_replies", "link", "peer").inc();
    }
    if (reply != null) {
      reply.complete(frame.message());
    }
  }

  /**
   * Handles a request of the peer.
   *
   * @param frame The request.
   */
  private void handle(Frame frame) {
    try {
      Message reply =
          frame.message() instanceof Message.Heartbeat heartbeat
              ? heartbeat
              : handler.apply(frame.message());
      byte[] content = FrameCodec.encode(new Frame(frame.id(), true, recorder.nextTime(), reply));
      outgoing.put(content);
    } catch (IOException | RuntimeException exception) {
      metrics.counter("peer_requests_failed", "cause", exception.getClass().getSimpleName()).inc();
      close(new IOException(exception));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    } finally {
      permits.release();
    }
  }
}
