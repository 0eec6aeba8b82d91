package org.hickoryshed.session.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import org.tinylog.Logger;

/** A connection that is owned by the event loop. */
public final class Connection {

  /** The size of a new input buffer in bytes. */
  private static final int INITIAL_INPUT = 1024;

  /** The loop that owns this connection. */
  private final EventLoop loop;

  /** The channel. */
  private final SocketChannel channel;

  /** The handler of the events. */
  private final Handler handler;

  /** The limits of the buffers. */
  private final Limits limits;

  /** The bytes to send. */
  private final OutputBuffer output = new OutputBuffer();

  /** The received bytes that are not yet handled, always ready to be filled. */
  private ByteBuffer input = ByteBuffer.allocate(INITIAL_INPUT);

  /** The key of the channel. */
  private SelectionKey key;

  /** True once the connection is established. */
  private boolean connected;

  /** True while this connection waits for the flush of the round. */
  private boolean flushing;

  /** True if the connection is to be closed once its output is sent. */
  private boolean closeAfterOutput;

  /** True once this connection is closed. */
  private boolean closed;

  /**
   * Creates a new connection.
   *
   * @param loop The loop that owns the connection.
   * @param channel The channel.
   * @param handler The handler of the events.
   * @param limits The limits of the buffers.
   */
  Connection(EventLoop loop, SocketChannel channel, Handler handler, Limits limits) {
    this.loop = loop;
    this.channel = channel;
    this.handler = handler;
    this.limits = limits;
  }

  /**
   * Registers the channel.
   *
   * @param selector The selector.
   * @param established True if the connection is established.
   * @throws IOException If the channel is closed already.
   */
  void register(Selector selector, boolean established) throws IOException {
    connected = established;
    int interest = established ? SelectionKey.OP_READ : SelectionKey.OP_CONNECT;
    key = channel.register(selector, interest, this);
  }

  /**
   * Returns the buffer to append output to; the output leaves at the end of the round.
   *
   * @return The buffer of the output.
   */
  public OutputBuffer output() {
    if (!flushing && !closed) {
      flushing = true;
      loop.flushLater(this);
    }
    return output;
  }

  /** Closes this connection once its output is sent. */
  public void closeAfterFlush() {
    closeAfterOutput = true;
    output();
  }

  /** Closes this connection at once without telling its handler. */
  public void close() {
    if (closed) {
      return;
    }
    closed = true;
    try {
      channel.close();
    } catch (IOException exception) {
      Logger.warn("a connection could not be closed: {}", exception.getMessage());
    }
  }

  /**
   * Checks if this connection is closed.
   *
   * @return {@code true} if it is closed.
   */
  public boolean isClosed() {
    return closed;
  }

  /**
   * Checks if this connection takes no more messages.
   *
   * @return {@code true} if it is closed or closes after its output.
   */
  public boolean isClosing() {
    return closed || closeAfterOutput;
  }

  /** Offers the received bytes to the handler again, after it stopped in front of some. */
  public void resumeInput() {
    handleInput();
  }

  /** Handles the readiness of the channel. */
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

  /** Sends as much output as the operating system takes. */
  void flush() {
    flushing = false;
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
    if (output.size() == 0 && closeAfterOutput) {
      fail("closed after its last answer");
    } else if (output.size() > limits.outputBytes) {
      fail("the peer does not read");
    } else {
      updateInterest();
    }
  }

  /**
   * Finishes the establishment.
   *
   * @return {@code true} if the connection is established.
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

  /** Reads what has arrived. */
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

  /** Offers the received bytes to the handler. */
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
    } else if (input.position() == 0 && input.capacity() > INITIAL_INPUT) {
      input = ByteBuffer.allocate(INITIAL_INPUT);
    }
    updateInterest();
  }

  /** Asks the selector for the events that can be handled. */
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

  /**
   * Closes this connection and tells its handler.
   *
   * @param reason What happened.
   */
  private void fail(String reason) {
    if (!closed) {
      close();
      handler.onClosed(reason);
    }
  }

  /** A handler of the events of a connection. */
  public interface Handler {

    /** Handles the establishment of a connection that was opened from here. */
    void onConnected();

    /**
     * Handles received bytes; what is not consumed is offered again with more.
     *
     * @param input The received bytes.
     */
    void onInput(ByteBuffer input);

    /**
     * Handles the end of a connection.
     *
     * @param reason What happened.
     */
    void onClosed(String reason);
  }

  /**
   * The limits of the buffers of a connection.
   *
   * @param inputBytes The highest number of received bytes that are held.
   * @param outputBytes The highest number of bytes that wait to be sent.
   */
  public record Limits(int inputBytes, int outputBytes) {}
}
