package org.hickoryshed.session.wire;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.session.net.OutputBuffer;

/** The format of the messages of callers and members. */
public interface WireFormat {

  /**
   * Returns the size of the longest message.
   *
   * @return The size in bytes.
   */
  int maxMessageBytes();

  /**
   * Takes the next message of a caller.
   *
   * @param input The received bytes, of which the message is consumed.
   * @return The message or an empty optional if it is not complete.
   */
  Optional<CallerMessage> decodeCallerMessage(ByteBuffer input);

  /**
   * Takes the next message of a member.
   *
   * @param input The received bytes, of which the message is consumed.
   * @return The message or an empty optional if it is not complete.
   */
  Optional<MemberMessage> decodeMemberMessage(ByteBuffer input);

  /**
   * Tells a caller that its session is ready.
   *
   * @param output The output towards the caller.
   * @param state The state of the session.
   */
  void writeReady(OutputBuffer output, TransactionState state);

  /**
   * Passes a row on to a caller.
   *
   * @param output The output towards the caller.
   * @param data The data of the row.
   */
  void writeRow(OutputBuffer output, String data);

  /**
   * Tells a caller that its statement is done.
   *
   * @param output The output towards the caller.
   * @param proof The proof of the member, empty if this proxy answers itself.
   */
  void writeDone(OutputBuffer output, Optional<String> proof);

  /**
   * Tells a caller that its statement or session failed.
   *
   * @param output The output towards the caller.
   * @param kind How it failed.
   * @param text A text for people.
   */
  void writeFailure(OutputBuffer output, FailureKind kind, String text);

  /**
   * Opens a session at a member.
   *
   * @param output The output towards the member.
   * @param pool The name of the pool.
   * @param proxy The name of this proxy.
   * @param member The identifier of the expected member.
   */
  void writeOpen(OutputBuffer output, String pool, String proxy, String member);

  /**
   * Passes a statement of a caller on to a member.
   *
   * @param output The output towards the member.
   * @param id The identifier that the caller gave to the statement.
   * @param required The position that the member's log must hold, if any.
   * @param text The text of the statement.
   */
  void writeCallerStatement(
      OutputBuffer output, String id, Optional<LogPosition> required, String text);

  /**
   * Writes the text of the execution of a prepared statement.
   *
   * @param name The name of the prepared statement at the member.
   * @param arguments The arguments as the caller wrote them.
   * @return The text of the statement.
   */
  String formatExecute(String name, String arguments);

  /**
   * Sends a statement of this proxy to a member.
   *
   * @param output The output towards the member.
   * @param required The position that the member's log must hold, if any.
   * @param statement The statement: begin, rollback, set, prepare or deallocate.
   */
  void writeProxyStatement(
      OutputBuffer output, Optional<LogPosition> required, Statement statement);

  /**
   * Asks a member to forget all values and prepared statements of the connection.
   *
   * @param output The output towards the member.
   */
  void writeReset(OutputBuffer output);

  /**
   * Asks a member for its status.
   *
   * @param output The output towards the member.
   */
  void writeStatusRequest(OutputBuffer output);

  /**
   * Reads the row that a member answers when it is asked for its status.
   *
   * @param row The row.
   * @return The report or an empty optional if the row is malformed.
   */
  Optional<MemberStatusReport> parseStatus(String row);
}
