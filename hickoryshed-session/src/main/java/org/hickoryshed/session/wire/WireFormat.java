package org.hickoryshed.session.wire;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.net.OutputBuffer;

/**
 * Encodes and decodes the protocol that is spoken with callers and members.
 *
 * <p>The write methods append one message to an output buffer, which is flushed later. All methods
 * are called on the event loop.
 */
public interface WireFormat {

  /**
   * Returns the size of the longest message that is accepted.
   *
   * @return The size in bytes, without the terminator of the message.
   */
  int maxMessageBytes();

  /**
   * Decodes the next message of a caller and consumes its bytes. Bytes that form no message are
   * decoded to {@link CallerMessage.Unreadable}.
   *
   * @param input The received bytes.
   * @return The message, empty until all of its bytes have arrived.
   */
  Optional<CallerMessage> decodeCallerMessage(ByteBuffer input);

  /**
   * Checks if received bytes may complete a message.
   *
   * @param input All unconsumed bytes in write mode, not to be changed.
   * @param from The position of the first byte that is new.
   * @return {@code false} only if they do not.
   */
  boolean mayComplete(ByteBuffer input, int from);

  /**
   * Decodes the next message of a member and consumes its bytes. Bytes that form no message are
   * decoded to {@link MemberMessage.Unreadable}.
   *
   * @param input The received bytes.
   * @return The message, empty until all of its bytes have arrived.
   */
  Optional<MemberMessage> decodeMemberMessage(ByteBuffer input);

  /**
   * Tells a caller that its session is ready for the next statement.
   *
   * @param output The output to the caller.
   * @param state The transaction state of the session.
   */
  void writeReady(OutputBuffer output, TransactionState state);

  /**
   * Passes one row of a result on to a caller.
   *
   * @param output The output to the caller.
   * @param data The row as the member wrote it.
   */
  void writeRow(OutputBuffer output, String data);

  /**
   * Tells a caller that its statement succeeded.
   *
   * @param output The output to the caller.
   * @param proof The member's proof that it ran the statement, empty if this process responds
   *     without a member.
   */
  void writeDone(OutputBuffer output, Optional<String> proof);

  /**
   * Tells a caller that its statement or the opening of its session failed.
   *
   * @param output The output to the caller.
   * @param kind How it failed.
   * @param text An explanation for people.
   */
  void writeFailure(OutputBuffer output, FailureKind kind, String text);

  /**
   * Opens a session at a member, which refuses it if it is not the expected member.
   *
   * @param output The output to the member.
   * @param pool The name of the pool.
   * @param user Who is connecting: the name of a workspace or of this proxy.
   * @param member The identifier of the expected member.
   */
  void writeOpen(OutputBuffer output, String pool, String user, String member);

  /**
   * Sends a caller's statement to a member.
   *
   * @param output The output to the member.
   * @param id The identifier that the caller gave to the statement.
   * @param required The position that the member's log must hold, empty if any will do.
   * @param text The text of the statement.
   */
  void writeCallerStatement(
      OutputBuffer output, String id, Optional<LogPosition> required, String text);

  /**
   * Formats the execution of a prepared statement, to be sent with {@link #writeCallerStatement}.
   *
   * @param name The name of the prepared statement at the member.
   * @param arguments The arguments as the caller wrote them.
   * @return The text of the statement.
   */
  String formatExecute(String name, String arguments);

  /**
   * Sends a statement to a member that this process issues itself.
   *
   * @param output The output to the member.
   * @param required The position that the member's log must hold, empty if any will do.
   * @param statement A begin, rollback, set, prepare or deallocate.
   */
  void writeProxyStatement(
      OutputBuffer output, Optional<LogPosition> required, Statement statement);

  /**
   * Requests a member to discard all values and prepared statements of the connection.
   *
   * @param output The output to the member.
   */
  void writeReset(OutputBuffer output);

  /**
   * Sends a command to a member, which returns its status as one row.
   *
   * @param output The output to the member.
   * @param command The command.
   */
  void writeCommand(OutputBuffer output, MemberCommand command);

  /**
   * Parses the row that a member returns for a command.
   *
   * @param row The row.
   * @return The status, empty if the row is malformed.
   */
  Optional<MemberStatusReport> parseStatus(String row);
}
