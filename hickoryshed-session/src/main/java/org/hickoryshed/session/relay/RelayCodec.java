package org.hickoryshed.session.relay;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hickoryshed.decision.statement.Access;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.directory.DirectoryRequest;
import org.hickoryshed.session.wire.MemberCommand;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes relay messages.
 *
 * <p>A message is its length in four bytes, big-endian, followed by the number of its kind and its
 * fields in MessagePack. The numbers of the kinds and the order of the fields are part of the
 * format between proxies and must not change.
 */
final class RelayCodec {

  /** The size of the length field in bytes. */
  static final int HEADER_BYTES = 4;

  /** The largest size of a message in bytes, without the length field. */
  static final int MAX_MESSAGE_BYTES = 10 * 1024 * 1024;

  /** The initial buffer size of a message in bytes. */
  private static final int BUFFER_BYTES = 512;

  private static final MessagePack.PackerConfig PACKERS =
      new MessagePack.PackerConfig().withBufferSize(BUFFER_BYTES);

  private RelayCodec() {}

  /**
   * Encodes a message.
   *
   * @return The message with its length field.
   */
  static byte[] encode(RelayMessage message) {
    try (MessageBufferPacker packer = PACKERS.newBufferPacker()) {
      write(packer, message);
      int length = (int) packer.getTotalWrittenBytes();
      byte[] content = packer.toByteArray();
      return ByteBuffer.allocate(HEADER_BYTES + length).putInt(length).put(content).array();
    } catch (IOException exception) {
      throw new IllegalStateException("could not write to a buffer in memory", exception);
    }
  }

  /**
   * Decodes the next message and consumes its bytes; consumes nothing if it is not complete yet.
   *
   * @param input The received bytes.
   * @return The message or an empty optional if more bytes are needed.
   * @throws MalformedMessageException If the input is not a relay message.
   */
  static Optional<RelayMessage> decodeNext(ByteBuffer input) throws MalformedMessageException {
    if (input.remaining() < HEADER_BYTES) {
      return Optional.empty();
    }
    int length = input.getInt(input.position());
    if (length < 0 || length > MAX_MESSAGE_BYTES) {
      throw new MalformedMessageException("invalid message length of " + length + " bytes");
    }
    if (input.remaining() < HEADER_BYTES + length) {
      return Optional.empty();
    }
    byte[] content = new byte[length];
    input.position(input.position() + HEADER_BYTES).get(content);
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(content)) {
      return Optional.of(read(unpacker));
    } catch (IOException | MessagePackException | IllegalArgumentException exception) {
      throw new MalformedMessageException(String.valueOf(exception.getMessage()));
    }
  }

  private static void write(MessageBufferPacker packer, RelayMessage message) throws IOException {
    switch (message) {
      case RelayMessage.ToLender toLender -> writeToLender(packer, toLender);
      case RelayMessage.ToBorrower toBorrower -> writeToBorrower(packer, toBorrower);
    }
  }

  private static void writeToLender(MessageBufferPacker packer, RelayMessage.ToLender message)
      throws IOException {
    switch (message) {
      case RelayMessage.Borrow borrow -> {
        packer
            .packInt(0)
            .packLong(borrow.loan())
            .packString(borrow.pool())
            .packString(borrow.member())
            .packInt(borrow.priority());
        // Older versions know neither field; what is absent is false or empty.
        if (borrow.mayDecline() || borrow.workspace().isPresent()) {
          packer.packBoolean(borrow.mayDecline());
        }
        if (borrow.workspace().isPresent()) {
          packer.packString(borrow.workspace().get());
        }
      }
      case RelayMessage.SessionValues values -> {
        packer.packInt(1).packLong(values.loan()).packInt(values.values().size());
        for (Map.Entry<String, String> entry : values.values().entrySet()) {
          packer.packString(entry.getKey()).packString(entry.getValue());
        }
      }
      case RelayMessage.Prepare prepare -> {
        packer.packInt(2).packLong(prepare.loan());
        writeShape(packer, prepare.shape());
      }
      case RelayMessage.Begin begin -> {
        packer.packInt(3).packLong(begin.loan()).packBoolean(begin.readOnly());
        writePosition(packer, begin.required());
      }
      case RelayMessage.Forward forward -> {
        packer.packInt(4).packLong(forward.loan()).packString(forward.id());
        writePosition(packer, forward.required());
        packer.packString(forward.text());
      }
      case RelayMessage.Execute execute -> {
        packer.packInt(5).packLong(execute.loan()).packString(execute.id());
        writePosition(packer, execute.required());
        writeShape(packer, execute.shape());
        packer.packString(execute.arguments());
      }
      case RelayMessage.Command command -> writeCommand(packer, command);
      case RelayMessage.Rollback rollback -> packer.packInt(7).packLong(rollback.loan());
      case RelayMessage.Release release ->
          packer.packInt(8).packLong(release.loan()).packBoolean(release.timedOut());
      case RelayMessage.Abort abort ->
          packer.packInt(9).packLong(abort.loan()).packString(abort.reason());
      case RelayMessage.Ping ignored -> packer.packInt(10);
      case RelayMessage.AskDirectory ask ->
          packer
              .packInt(18)
              .packLong(ask.request().desiredVersion())
              .packLong(ask.request().memberVersion());
    }
  }

  private static void writeToBorrower(MessageBufferPacker packer, RelayMessage.ToBorrower message)
      throws IOException {
    switch (message) {
      case RelayMessage.Lent lent ->
          packer
              .packInt(11)
              .packLong(lent.loan())
              .packInt(lent.inFlight())
              .packLong(lent.responseMicros());
      case RelayMessage.Unavailable unavailable ->
          packer
              .packInt(12)
              .packLong(unavailable.loan())
              .packString(unavailable.reason())
              .packBoolean(unavailable.declined());
      case RelayMessage.Done done -> writeDone(packer, done);
      case RelayMessage.Failed failed ->
          packer
              .packInt(14)
              .packLong(failed.loan())
              .packString(failed.kind().name())
              .packString(failed.text())
              .packString(failed.state().name());
      case RelayMessage.Lost lost ->
          packer.packInt(15).packLong(lost.loan()).packString(lost.reason());
      case RelayMessage.Ended ended ->
          packer.packInt(16).packLong(ended.loan()).packString(ended.reason());
      case RelayMessage.Pong ignored -> packer.packInt(17);
      case RelayMessage.Directory directory -> {
        packer.packInt(19);
        DirectoryCodec.write(packer, directory.update());
      }
    }
  }

  private static RelayMessage read(MessageUnpacker unpacker) throws IOException {
    int kind = unpacker.unpackInt();
    return switch (kind) {
      case 0 ->
          new RelayMessage.Borrow(
              unpacker.unpackLong(),
              unpacker.unpackString(),
              unpacker.unpackString(),
              unpacker.unpackInt(),
              readAddedFlag(unpacker),
              unpacker.hasNext() ? Optional.of(unpacker.unpackString()) : Optional.empty());
      case 1 -> new RelayMessage.SessionValues(unpacker.unpackLong(), readValues(unpacker));
      case 2 -> new RelayMessage.Prepare(unpacker.unpackLong(), readShape(unpacker));
      case 3 ->
          new RelayMessage.Begin(
              unpacker.unpackLong(), unpacker.unpackBoolean(), readPosition(unpacker));
      case 4 ->
          new RelayMessage.Forward(
              unpacker.unpackLong(),
              unpacker.unpackString(),
              readPosition(unpacker),
              unpacker.unpackString());
      case 5 ->
          new RelayMessage.Execute(
              unpacker.unpackLong(),
              unpacker.unpackString(),
              readPosition(unpacker),
              readShape(unpacker),
              unpacker.unpackString());
      case 6, 20, 21, 22 -> readCommand(kind, unpacker);
      case 7 -> new RelayMessage.Rollback(unpacker.unpackLong());
      case 8 -> new RelayMessage.Release(unpacker.unpackLong(), unpacker.unpackBoolean());
      case 9 -> new RelayMessage.Abort(unpacker.unpackLong(), unpacker.unpackString());
      case 10 -> new RelayMessage.Ping();
      case 11 ->
          new RelayMessage.Lent(
              unpacker.unpackLong(), (int) readAddedNumber(unpacker), readAddedNumber(unpacker));
      case 12 ->
          new RelayMessage.Unavailable(
              unpacker.unpackLong(), unpacker.unpackString(), readAddedFlag(unpacker));
      case 13 -> readDone(unpacker);
      case 14 ->
          new RelayMessage.Failed(
              unpacker.unpackLong(),
              FailureKind.valueOf(unpacker.unpackString()),
              unpacker.unpackString(),
              TransactionState.valueOf(unpacker.unpackString()));
      case 15 -> new RelayMessage.Lost(unpacker.unpackLong(), unpacker.unpackString());
      case 16 -> new RelayMessage.Ended(unpacker.unpackLong(), unpacker.unpackString());
      case 17 -> new RelayMessage.Pong();
      case 18 ->
          new RelayMessage.AskDirectory(
              new DirectoryRequest(unpacker.unpackLong(), unpacker.unpackLong()));
      case 19 -> new RelayMessage.Directory(DirectoryCodec.read(unpacker));
      default -> throw new IllegalArgumentException("unknown message kind " + kind);
    };
  }

  private static RelayMessage readCommand(int kind, MessageUnpacker unpacker) throws IOException {
    long loan = unpacker.unpackLong();
    MemberCommand command =
        switch (kind) {
          case 6 -> new MemberCommand.ReportStatus();
          case 20 -> new MemberCommand.StepDown(unpacker.unpackLong());
          case 21 -> new MemberCommand.Pause(unpacker.unpackLong());
          case 22 -> new MemberCommand.Resume();
          default -> throw new IllegalArgumentException("no command is of kind " + kind);
        };
    return new RelayMessage.Command(loan, command);
  }

  /**
   * Reads a flag that was added behind the other fields of a message. The version before does not
   * send it and ignores it.
   */
  private static boolean readAddedFlag(MessageUnpacker unpacker) throws IOException {
    return unpacker.hasNext() && unpacker.unpackBoolean();
  }

  /** Reads a number that was added like a {@link #readAddedFlag flag}; zero if it is missing. */
  private static long readAddedNumber(MessageUnpacker unpacker) throws IOException {
    return unpacker.hasNext() ? unpacker.unpackLong() : 0;
  }

  private static void writeCommand(MessageBufferPacker packer, RelayMessage.Command message)
      throws IOException {
    switch (message.command()) {
      case MemberCommand.ReportStatus ignored -> packer.packInt(6).packLong(message.loan());
      case MemberCommand.StepDown stepDown ->
          packer.packInt(20).packLong(message.loan()).packLong(stepDown.term());
      case MemberCommand.Pause pause ->
          packer.packInt(21).packLong(message.loan()).packLong(pause.term());
      case MemberCommand.Resume ignored -> packer.packInt(22).packLong(message.loan());
    }
  }

  private static void writeDone(MessageBufferPacker packer, RelayMessage.Done done)
      throws IOException {
    packer.packInt(13).packLong(done.loan()).packArrayHeader(done.rows().size());
    for (String row : done.rows()) {
      packer.packString(row);
    }
    packer.packBoolean(done.proof().isPresent());
    if (done.proof().isPresent()) {
      packer.packString(done.proof().get());
    }
    packer.packString(done.state().name());
    writePosition(packer, done.position());
  }

  private static RelayMessage.Done readDone(MessageUnpacker unpacker) throws IOException {
    long loan = unpacker.unpackLong();
    int count = unpacker.unpackArrayHeader();
    List<String> rows = new ArrayList<>();
    for (int index = 0; index < count; index++) {
      rows.add(unpacker.unpackString());
    }
    Optional<String> proof =
        unpacker.unpackBoolean() ? Optional.of(unpacker.unpackString()) : Optional.empty();
    return new RelayMessage.Done(
        loan,
        rows,
        proof,
        TransactionState.valueOf(unpacker.unpackString()),
        readPosition(unpacker));
  }

  private static void writePosition(MessageBufferPacker packer, Optional<LogPosition> position)
      throws IOException {
    packer.packBoolean(position.isPresent());
    if (position.isPresent()) {
      packer.packLong(position.get().term()).packLong(position.get().index());
    }
  }

  private static Optional<LogPosition> readPosition(MessageUnpacker unpacker) throws IOException {
    return unpacker.unpackBoolean()
        ? Optional.of(new LogPosition(unpacker.unpackLong(), unpacker.unpackLong()))
        : Optional.empty();
  }

  private static void writeShape(MessageBufferPacker packer, Statement.Shape shape)
      throws IOException {
    packer.packBoolean(shape.access() == Access.WRITE).packString(shape.text());
  }

  private static Statement.Shape readShape(MessageUnpacker unpacker) throws IOException {
    return new Statement.Shape(
        unpacker.unpackBoolean() ? Access.WRITE : Access.READ, unpacker.unpackString());
  }

  /** Reads the session values; keeps their order. */
  private static Map<String, String> readValues(MessageUnpacker unpacker) throws IOException {
    int count = unpacker.unpackInt();
    Map<String, String> values = new LinkedHashMap<>();
    for (int index = 0; index < count; index++) {
      values.put(unpacker.unpackString(), unpacker.unpackString());
    }
    return values;
  }

  /** Thrown for input that is not a relay message. */
  static final class MalformedMessageException extends Exception {

    private static final long serialVersionUID = 1L;

    private MalformedMessageException(String message) {
      super(message);
    }
  }
}
