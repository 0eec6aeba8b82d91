package org.hickoryshed.session.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import org.hickoryshed.decision.memory.MemoryBudget;
import org.hickoryshed.decision.memory.MemoryKind;
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

  /** Smaller input buffers grow to four times their size, larger ones to twice their size. */
  private static final int FAST_GROWTH_BYTES = 64 * 1024;

  /** The most bytes of one read or write, for which the JDK keeps a buffer outside of the heap. */
  private static final int MAX_TRANSFER_BYTES = 64 * 1024;

  /** With more unsent bytes than this a handler of an accepted connection leaves its input. */
  private static final int HIGH_WATERMARK_BYTES = 64 * 1024;

  /** With at most as many unsent bytes, input that was left is handled. */
  private static final int LOW_WATERMARK_BYTES = 32 * 1024;

  private final EventLoop loop;
  private final SocketChannel channel;
  private final Handler handler;
  private final Limits limits;

  /** True if the other end opened this connection. */
  private final boolean accepted;

  private final MemoryBudget.Account account;

  private final OutputBuffer output = new OutputBuffer();

  /** The received bytes that the handler has not consumed; in write mode between events. */
  private ByteBuffer input = ByteBuffer.allocate(INITIAL_INPUT_BYTES);

  private SelectionKey key;
  private boolean connected;

  /** True while this connection is queued for the flush at the end of the iteration. */
  private boolean flushQueued;

  private boolean closeAfterFlush;
  private boolean closed;

  /** True while the handler leaves its input because too many bytes are unsent. */
  private boolean heldBack;

  Connection(
      EventLoop loop, SocketChannel channel, Handler handler, Limits limits, boolean accepted) {
    this.loop = loop;
    this.channel = channel;
    this.handler = handler;
    this.limits = limits;
    this.accepted = accepted;
    account = loop.memory().open(this);
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
    loop.memory().close(account);
    input = ByteBuffer.allocate(0);
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

  /**
   * Checks if so many bytes are unsent that the handler of an accepted connection should leave its
   * input; it is passed to the handler again once they are sent.
   */
  public boolean isOutputHigh() {
    heldBack |= accepted && output.size() > HIGH_WATERMARK_BYTES;
    return heldBack;
  }

  /**
   * Charges the state of the session that this connection carries.
   *
   * @param size The size of all of it in bytes.
   * @return {@code false} if the process has no memory for it.
   */
  public boolean chargeSessionState(long size) {
    return loop.memory().charge(account, MemoryKind.SESSION_STATE, size);
  }

  /**
   * Charges the rows of a response that this connection has received so far.
   *
   * @param size The size of the rows in bytes, zero once the response is passed on.
   * @return {@code false} if the process has no memory for it.
   */
  public boolean chargeRows(long size) {
    return loop.memory().chargeHeld(this, MemoryKind.ROWS, size);
  }

  /** Returns the account of what this connection holds. */
  MemoryBudget.Account account() {
    return account;
  }

  /** Checks if this connection may be closed to make room: accepted, and nothing runs on it. */
  boolean isDispensable() {
    return accepted && !handler.isInUse();
  }

  /**
   * Tries again to grow the input buffer.
   *
   * @return {@code false} if there is still no room.
   */
  boolean onRoom() {
    if (closed || isHeldBack()) {
      return true;
    }
    boolean grown = growInput();
    if (grown) {
      updateInterest();
    }
    return grown;
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
        int length = Math.min(output.size(), MAX_TRANSFER_BYTES);
        int written = channel.write(ByteBuffer.wrap(output.array(), output.offset(), length));
        if (written == 0) {
          break;
        }
        output.remove(written);
      }
    } catch (IOException exception) {
      fail("write failed: " + exception.getMessage());
      return;
    }
    if (heldBack && output.size() <= LOW_WATERMARK_BYTES) {
      heldBack = false;
      handleInput();
    }
    if (closed) {
      return;
    }
    if (output.size() == 0 && closeAfterFlush) {
      fail("closed after the last response");
    } else if (output.size() > limits.outputBytes) {
      fail("too many unsent bytes: the peer does not read");
    } else if (!loop.memory().chargeHeld(this, MemoryKind.OUTPUT, output.heldBytes()) && accepted) {
      fail("no memory for unsent bytes");
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
    int before = input.position();
    int limit = input.limit();
    try {
      input.limit(Math.min(limit, before + MAX_TRANSFER_BYTES));
      int count = channel.read(input);
      input.limit(limit);
      if (count < 0) {
        fail("closed by the peer");
        return;
      }
    } catch (IOException exception) {
      fail("read failed: " + exception.getMessage());
      return;
    }
    if (before == 0 || !input.hasRemaining() || handler.mayComplete(input, before)) {
      handleInput();
    }
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
    if (!input.hasRemaining() && input.capacity() < limits.inputBytes && !isHeldBack()) {
      if (!growInput()) {
        loop.memory().await(this);
      }
    } else if (input.position() == 0
        && input.capacity() > INITIAL_INPUT_BYTES
        && !handler.isBusy()) {
      // A handler that is busy still holds what it was passed, so that stays charged.
      input = ByteBuffer.allocate(INITIAL_INPUT_BYTES);
      loop.memory().charge(account, MemoryKind.INPUT, 0);
    }
    updateInterest();
  }

  /** Checks if an accepted connection needs no more input before its handler goes on. */
  private boolean isHeldBack() {
    return accepted && (heldBack || handler.isBusy());
  }

  /** Grows the input buffer; {@code false} if the process has no memory for that. */
  private boolean growInput() {
    int factor = input.capacity() < FAST_GROWTH_BYTES ? 4 : 2;
    int size = Math.min(input.capacity() * factor, limits.inputBytes);
    ConnectionMemory memory = loop.memory();
    boolean granted =
        accepted
            ? memory.charge(account, MemoryKind.INPUT, size)
            // What this process asked for is received in any case.
            : memory.chargeHeld(this, MemoryKind.INPUT, size) || !closed;
    if (granted) {
      input = ByteBuffer.allocate(size).put(input.flip());
    }
    return granted;
  }

  /** Selects reads only while the input buffer has room, and writes only while output is left. */
  private void updateInterest() {
    if (closed || !connected || !key.isValid()) {
      return;
    }
    int interest = input.hasRemaining() && !heldBack ? SelectionKey.OP_READ : 0;
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
     * Checks if bytes that arrived may complete a message; otherwise they are not passed yet.
     *
     * @param input All unconsumed bytes in write mode, not to be changed.
     * @param from The position of the first byte that is new.
     */
    default boolean mayComplete(ByteBuffer input, int from) {
      return true;
    }

    /**
     * Checks if something runs that came over this connection, and will call {@link
     * Connection#resumeInput} at its end.
     */
    default boolean isBusy() {
      return false;
    }

    /** Checks if this connection should not be closed to make room for others. */
    default boolean isInUse() {
      return isBusy();
    }

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
