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
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.UnaryOperator;
import org.hickoryshed.kernel.event.EventRecorder;
import org.hickoryshed.kernel.metric.Metrics;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.protocol.message.Frame;
import org.hickoryshed.protocol.message.FrameCodec;
import org.hickoryshed.protocol.message.Message;

/**
 * A connection to a peer that carries requests and responses in both directions.
 *
 * <p>Responses are matched to requests by identifier and may arrive in any order. While a request
 * waits, heartbeats are sent; a peer that sends nothing for too long is taken for frozen or cut
 * off, and the connection is closed.
 */
final class PeerConnection {

  /** The largest number of frames that wait to be written. */
  private static final int OUTGOING_CAPACITY = 1024;

  /**
   * The largest number of requests of the peer that are handled at once; beyond it no frame is
   * read.
   */
  private static final int MAX_CONCURRENT_REQUESTS = 1024;

  /** The interval of heartbeats while a request waits. */
  private static final Duration HEARTBEAT_INTERVAL = Duration.ofMillis(250);

  /** Nanoseconds without a frame after which the connection is closed, while a request waits. */
  private static final long SILENCE_LIMIT_NANOS = Duration.ofMillis(1200).toNanos();

  private static final int BUFFER_BYTES = 16 * 1024;

  private final Socket socket;
  private final UnaryOperator<Message> requestHandler;

  /** Carries the hybrid logical clock. */
  private final EventRecorder recorder;

  private final Metrics metrics;
  private final BlockingQueue<byte[]> outgoing = new ArrayBlockingQueue<>(OUTGOING_CAPACITY);
  private final Semaphore permits = new Semaphore(MAX_CONCURRENT_REQUESTS);

  /** The requests that wait for their responses, by identifier. */
  private final Map<Long, CompletableFuture<Message>> pending = new ConcurrentHashMap<>();

  private final AtomicLong latestRequestId = new AtomicLong();
  private volatile boolean open = true;

  /** Why this connection was closed first, {@code null} while it is open. */
  private final AtomicReference<IOException> closeCause = new AtomicReference<>();

  /** The {@link System#nanoTime()} at which the last frame arrived or no request was waiting. */
  private volatile long lastHeardNanos = System.nanoTime();

  /** Creates a connection; {@link #start()} starts its threads. */
  PeerConnection(
      Socket socket,
      UnaryOperator<Message> requestHandler,
      EventRecorder recorder,
      Metrics metrics) {
    this.socket = socket;
    this.requestHandler = requestHandler;
    this.recorder = recorder;
    this.metrics = metrics;
  }

  /** Starts the threads that read frames, write frames and send heartbeats. */
  void start() {
    Thread.ofVirtual().name("peer-reader").start(this::readFrames);
    Thread.ofVirtual().name("peer-writer").start(this::writeFrames);
    Thread.ofVirtual().name("peer-heartbeat").start(this::monitorPeer);
  }

  /**
   * Sends a request and blocks until its response arrives.
   *
   * @param timeout The longest time to wait for the response.
   * @return The response or the reason why there is none.
   */
  Result<Message, PeerFailure> call(Message request, Duration timeout) {
    long id = latestRequestId.incrementAndGet();
    CompletableFuture<Message> response = new CompletableFuture<>();
    pending.put(id, response);
    try {
      if (!open || !enqueue(new Frame(id, false, recorder.nextTime(), request))) {
        return Result.failure(new PeerFailure.NotSent("the connection is closed or congested"));
      }
      return Result.success(response.get(timeout.toMillis(), TimeUnit.MILLISECONDS));
    } catch (TimeoutException exception) {
      return Result.failure(new PeerFailure.NoAnswer("no response within " + timeout));
    } catch (ExecutionException exception) {
      return Result.failure(new PeerFailure.NoAnswer(String.valueOf(exception.getCause())));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return Result.failure(new PeerFailure.NoAnswer("interrupted"));
    } finally {
      pending.remove(id);
    }
  }

  /** Checks if the connection can still be used. */
  boolean isOpen() {
    return open;
  }

  /**
   * Closes the connection and fails all requests that wait.
   *
   * @param cause The failure that those requests get, unless this connection was closed before.
   */
  void close(IOException cause) {
    // The close makes the reader fail and call this method, too, with a cause that says nothing.
    closeCause.compareAndSet(null, cause);
    open = false;
    try {
      socket.close();
    } catch (IOException exception) {
      metrics.counter("peer_close_failures", "cause", "close").inc();
    }
    pending.values().forEach(response -> response.completeExceptionally(closeCause.get()));
  }

  /**
   * Encodes a frame and queues it for writing.
   *
   * @return {@code false} if the queue is full or the frame is too long.
   */
  private boolean enqueue(Frame frame) {
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
        new DataOutputStream(new BufferedOutputStream(socket.getOutputStream(), BUFFER_BYTES))) {
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

  /**
   * Sends heartbeats and closes the connection to a peer that is silent while a request waits,
   * because it is frozen or cut off.
   */
  private void monitorPeer() {
    try {
      while (open) {
        Thread.sleep(HEARTBEAT_INTERVAL);
        if (pending.isEmpty()) {
          lastHeardNanos = System.nanoTime();
        } else if (System.nanoTime() - lastHeardNanos > SILENCE_LIMIT_NANOS) {
          metrics.counter("peers_given_up", "cause", "silence").inc();
          close(new IOException("the peer is silent"));
        } else {
          enqueue(
              new Frame(
                  latestRequestId.incrementAndGet(),
                  false,
                  recorder.nextTime(),
                  new Message.Heartbeat()));
        }
      }
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
    }
  }

  /** Reads frames until the connection closes. */
  private void readFrames() {
    try (DataInputStream input =
        new DataInputStream(new BufferedInputStream(socket.getInputStream(), BUFFER_BYTES))) {
      while (open) {
        Frame frame = FrameCodec.read(input);
        lastHeardNanos = System.nanoTime();
        recorder.observe(frame.time());
        if (frame.reply()) {
          completeRequest(frame);
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

  /** Completes the request that waits for a response. */
  private void completeRequest(Frame frame) {
    CompletableFuture<Message> response = pending.remove(frame.id());
    if (response == null && !(frame.message() instanceof Message.Heartbeat)) {
      metrics.counter("late_replies", "link", "peer").inc();
    }
    if (response != null) {
      response.complete(frame.message());
    }
  }

  /**
   * Handles a request of the peer and queues the response. If that fails, the connection is closed.
   */
  private void handle(Frame frame) {
    try {
      Message response =
          frame.message() instanceof Message.Heartbeat heartbeat
              ? heartbeat
              : requestHandler.apply(frame.message());
      byte[] content =
          FrameCodec.encode(new Frame(frame.id(), true, recorder.nextTime(), response));
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
