package org.hickoryshed.session.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/**
 * A non-blocking TCP connection with buffered input and output.
 *
 * <p>Confined to the thread of its event loop, which also calls the {@link Handler}. When a handler
 * leaves so much input unconsumed that the buffer reaches its limit, reading pauses, and TCP flow
 * control holds back the other end.
 */
public final class Connection {

  /** The size of the input buffer; it grows only while input is left unconsumed. */
  private static final int INITIAL_INPUT_BYTES = 1024;

  private final EventLoop loop;
  private final SocketChannel channel;
  private final Handler handler;
  private final Limits limits;

  private final OutputBuffer output = new OutputBuffer();

  /** The received bytes that the handler has not consumed; in write mode between events. */
  private ByteBuffer input = ByteBuffer.allocate(INITIAL_INPUT_BYTES);

  private SelectionKey key;
  private boolean connected;

  /** True while this connection is queued for the flush at the end of the iteration. */
  private boolean flushQueued;

  private boolean closeAfterFlush;
  private boolean closed;

  Connection(EventLoop loop, SocketChannel channel, Handler handler, Limits limits) {
    this.loop = loop;
    this.channel = channel;
    this.handler = handler;
    this.limits = limits;
  }

  /**
   * Registers the channel with the selector.
   *
   * @param established False while the connection is still being opened.
   * @throws IOException If the channel is closed already.
   */
  void register(Selector selector, boolean established) throws IOException {
    connected = established;
    int interest = established ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
    key = channel.register(selector, interest, this);
  }

  /**
   * Returns the buffer to append output to, and queues a flush at the end of the event loop's
   * iteration.
   */
  public OutputBuffer output() {
    if (!flushQueued && !closed) {
      flushQueued = true;
      loop.flushLater(this);
    }
    return output;
  }

  /** Closes this connection once its output is sent, and then tells its handler. */
  public void closeAfterFlush() {
    closeAfterFlush = true;
    output();
  }

  /** Closes this connection at once, discards its output and does not tell its handler. */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    try {
      channel.close();
    } catch (IOException exception) {
      Logger.warn("closing a connection failed: {}", exception.getMessage());
    }
  }

  /** Checks if this connection is closed, by either end. */
  public boolean isClosed() {
    return closed;
  }

  /** Checks if this connection is closed or will be once its output is sent. */
  public boolean isClosing() {
    return closed || closeAfterFlush;
  }

  /** Passes the unconsumed input to the handler again, after it left some for later. */
  public void resumeInput() {
    handleInput();
  }

  /** Handles I/O events of the channel. */
  void onReady() {
    if (closed) {
      return;
    }
    if (key.isConnectable() && !finishConnect()) {
      return;
    }
    if (key.isValid() && key.isReadable()) {
      read();
    }
    if (!closed && key.isValid() && key.isWritable()) {
      flush();
    }
  }

  /** Writes as much output as the socket accepts; the rest follows when it is writable again. */
  void flush() {
    flushQueued = false;
    if (closed || !connected) {
      return;
    }
    try {
      while (output.size() > 0) {
        int written =
            channel.write(ByteBuffer.wrap(output.array(), output.offset(), output.size()));
        if (written == 0) {
          break;
        }
        output.remove(written);
      }
    } catch (IOException exception) {
      fail("write failed: " + exception.getMessage());
      return;
    }
    if (output.size() == 0 && closeAfterFlush) {
      fail("closed after the last response");
    } else if (output.size() > limits.outputBytes) {
      fail("too many unsent bytes: the peer does not read");
    } else {
      updateInterest();
    }
  }

  /**
   * Completes a connect.
   *
   * @return {@code true} if the connection is established and the handler left it open.
   */
  private boolean finishConnect() {
    try {
      connected = channel.finishConnect();
    } catch (IOException exception) {
      fail("connect failed: " + exception.getMessage());
      return false;
    }
    if (connected) {
      handler.onConnected();
      if (!closed) {
        flush();
      }
    }
    return connected && !closed;
  }

  private void read() {
    try {
      int count = channel.read(input);
      if (count < 0) {
        fail("closed by the peer");
        return;
      }
    } catch (IOException exception) {
      fail("read failed: " + exception.getMessage());
      return;
    }
    handleInput();
  }

  /** Passes the input to the handler, then grows a full buffer or shrinks an empty one. */
  private void handleInput() {
    if (closed) {
      return;
    }
    input.flip();
    try {
      handler.onInput(input);
    } finally {
      input.compact();
    }
    if (closed) {
      return;
    }
    if (!input.hasRemaining() && input.capacity() < limits.inputBytes) {
      int size = Math.min(input.capacity() * 4, limits.inputBytes);
      input = ByteBuffer.allocate(size).put(input.flip());
    } else if (input.position() == 0 && input.capacity() > INITIAL_INPUT_BYTES) {
      input = ByteBuffer.allocate(INITIAL_INPUT_BYTES);
    }
    updateInterest();
  }

  /** Selects reads only while the input buffer has room, and writes only while output is left. */
  private void updateInterest() {
    if (closed || !connected || !key.isValid()) {
      return;
    }
    int interest = input.hasRemaining() ? SelectionKey.OP_READ : 0;
    if (output.size() > 0) {
      interest |= SelectionKey.OP_WRITE;
    }
    if (key.interestOps() != interest) {
      key.interestOps(interest);
    }
  }

  /** Closes this connection and tells its handler; has no effect on a closed connection. */
  void fail(String reason) {
    if (!closed) {
      close();
      handler.onClosed(reason);
    }
  }

  /** Handles the events of a connection, on the thread of the event loop. */
  public interface Handler {

    /** Called when a connection that this process opened is established; not for accepted ones. */
    void onConnected();

    /**
     * Called when bytes have been received.
     *
     * @param input All unconsumed bytes in read mode; what the handler leaves is passed again with
     *     the next bytes.
     */
    void onInput(ByteBuffer input);

    /**
     * Called once when the connection ends, except by {@link Connection#close}.
     *
     * @param reason Why it ended, for logs.
     */
    void onClosed(String reason);
  }

  /**
   * The limits of the buffers of a connection.
   *
   * @param inputBytes The maximum number of unconsumed bytes; reading pauses when they are reached.
   * @param outputBytes The maximum number of bytes left after a flush; the connection is closed
   *     when there are more.
   */
  public record Limits(int inputBytes, int outputBytes) {}
}
