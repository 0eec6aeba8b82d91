package org.hickoryshed.session.relay;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.hickoryshed.decision.directory.DatabaseRoute;
import org.hickoryshed.decision.directory.DesiredState;
import org.hickoryshed.decision.directory.MemberEntry;
import org.hickoryshed.decision.directory.MemberList;
import org.hickoryshed.decision.statement.Access;
import org.hickoryshed.decision.statement.FailureKind;
import org.hickoryshed.decision.statement.Statement;
import org.hickoryshed.decision.statement.TransactionState;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.workspace.Workspace;
import org.hickoryshed.decision.workspace.Workspaces;
import org.hickoryshed.session.directory.DirectoryRequest;
import org.hickoryshed.session.directory.DirectoryUpdate;
import org.hickoryshed.session.wire.MemberCommand;
import org.junit.jupiter.api.Test;

/** Tests the encoding of relay messages, with one sample of each kind of message. */
class RelayCodecTest {

  private static final Optional<LogPosition> POSITION = Optional.of(new LogPosition(3, 1207));
  private static final Statement.Shape SHAPE = new Statement.Shape(Access.WRITE, "q2c");
  private static final DesiredState DESIRED =
      new DesiredState(
          17,
          Map.of(
              "lepu270",
              new DatabaseRoute(
                  "lepu270", "orders", DatabaseRoute.Freshness.BOUNDED_AGE, 1500, 800, 300, 1)),
          Map.of("orders", new DesiredState.PoolEntry("orders", 16, 1)),
          3000);
  private static final DesiredState WITH_WORKSPACES =
      new DesiredState(
          18,
          Map.of("lepu270", DESIRED.route("lepu270").orElseThrow().asPublic()),
          DESIRED.pools(),
          3000,
          Workspaces.of(
              List.of(
                  new Workspace("bazaar", Set.of("k1", "k2"), 2.5, 7),
                  new Workspace("idle", Set.of(), Double.POSITIVE_INFINITY, 0))));
  private static final MemberEntry MEMBER =
      new MemberEntry("m1", "orders", "10.1.64.2:8547", "gimpo", 2, true, false, 1_700L, 19);
  private static final List<RelayMessage> MESSAGES =
      List.of(
          new RelayMessage.Borrow(1, "orders", "m1", 2, false, Optional.empty()),
          new RelayMessage.Borrow(1, "orders", "m1", 2, true, Optional.of("bazaar")),
          new RelayMessage.SessionValues(2, Map.of("currency", "AUD")),
          new RelayMessage.Prepare(3, SHAPE),
          new RelayMessage.Begin(4, true, POSITION),
          new RelayMessage.Begin(4, false, Optional.empty()),
          new RelayMessage.Forward(5, "5c0e", POSITION, "READ 1a4"),
          new RelayMessage.Execute(6, "5c0e", Optional.empty(), SHAPE, "1a4 xk\u00e9"),
          new RelayMessage.Command(7, new MemberCommand.ReportStatus()),
          new RelayMessage.Command(7, new MemberCommand.StepDown(12)),
          new RelayMessage.Command(7, new MemberCommand.Pause(13)),
          new RelayMessage.Command(7, new MemberCommand.Resume()),
          new RelayMessage.Rollback(8),
          new RelayMessage.Release(9, true),
          new RelayMessage.Abort(10, "broken"),
          new RelayMessage.Ping(),
          new RelayMessage.Lent(11, 3, 25_000),
          new RelayMessage.Unavailable(12, "not known", true),
          new RelayMessage.Done(
              13, List.of("a", "b"), Optional.of("mac"), TransactionState.OPEN, POSITION),
          new RelayMessage.Done(
              13, List.of(), Optional.empty(), TransactionState.IDLE, Optional.empty()),
          new RelayMessage.Failed(14, FailureKind.BEHIND, "m1", TransactionState.FAILED),
          new RelayMessage.Lost(15, "closed"),
          new RelayMessage.Ended(16, "closed"),
          new RelayMessage.Pong(),
          new RelayMessage.AskDirectory(new DirectoryRequest(17, 23)),
          new RelayMessage.Directory(
              new DirectoryUpdate(Optional.empty(), Optional.empty(), Map.of())),
          new RelayMessage.Directory(
              new DirectoryUpdate(
                  Optional.of(DESIRED),
                  Optional.of(new MemberList(23, OptionalLong.of(19), List.of(MEMBER))),
                  Map.of("front-1", "10.1.0.8:7440"))),
          new RelayMessage.Directory(
              new DirectoryUpdate(Optional.of(WITH_WORKSPACES), Optional.empty(), Map.of())));

  /** Proxies of the version before workspaces read these messages. */
  @Test
  void encodesAsBeforeWithoutWorkspaces() {
    assertThat(
            RelayCodec.encode(
                new RelayMessage.Borrow(1, "orders", "m1", 2, false, Optional.empty())))
        .containsExactly(0, 0, 0, 13, 0, 1, 0xa6, 'o', 'r', 'd', 'e', 'r', 's', 0xa2, 'm', '1', 2);
    RelayMessage without =
        new RelayMessage.Directory(
            new DirectoryUpdate(Optional.of(DESIRED), Optional.empty(), Map.of()));
    byte[] encoded = RelayCodec.encode(without);
    assertThat(encoded[encoded.length - 1]).as("the number of proxies ends it").isZero();
  }

  @Test
  void decodesWhatItEncodes() throws Exception {
    for (RelayMessage message : MESSAGES) {
      ByteBuffer input = ByteBuffer.wrap(RelayCodec.encode(message));
      assertThat(RelayCodec.decodeNext(input)).contains(message);
      assertThat(input.hasRemaining()).isFalse();
    }
  }

  @Test
  void readsMessagesOfTheVersionBefore() throws Exception {
    // Kind, loan, then the fields that the version before knows.
    byte[] lent = {0, 0, 0, 2, 11, 5};
    byte[] unavailable = {0, 0, 0, 4, 12, 5, (byte) 0xa1, 'x'};
    byte[] borrow = {0, 0, 0, 7, 0, 5, (byte) 0xa1, 'p', (byte) 0xa1, 'm', 2};

    assertThat(RelayCodec.decodeNext(ByteBuffer.wrap(lent)))
        .contains(new RelayMessage.Lent(5, 0, 0));
    assertThat(RelayCodec.decodeNext(ByteBuffer.wrap(unavailable)))
        .contains(new RelayMessage.Unavailable(5, "x", false));
    assertThat(RelayCodec.decodeNext(ByteBuffer.wrap(borrow)))
        .contains(new RelayMessage.Borrow(5, "p", "m", 2, false, Optional.empty()));
  }

  @Test
  void decodesNothingFromIncompleteMessage() throws Exception {
    byte[] whole = RelayCodec.encode(new RelayMessage.Forward(5, "id", POSITION, "READ 1a4"));
    for (int length = 0; length < whole.length; length++) {
      ByteBuffer part = ByteBuffer.wrap(whole, 0, length);
      assertThat(RelayCodec.decodeNext(part)).isEmpty();
      assertThat(part.remaining()).isEqualTo(length);
    }
  }

  @Test
  void leavesOutMembersWithoutUsableAddress() throws Exception {
    for (String address : List.of("10.1.0.2:0", "10.1.0.2:65536", "10.1.0.2:-1", "x", "")) {
      MemberEntry odd = new MemberEntry("m2", "orders", address, "gimpo", 2, true, false, 1, 19);
      RelayMessage message = directoryOf(List.of(odd, MEMBER));

      Optional<RelayMessage> decoded =
          RelayCodec.decodeNext(ByteBuffer.wrap(RelayCodec.encode(message)));

      assertThat(decoded).contains(directoryOf(List.of(MEMBER)));
    }
  }

  @Property(tries = 1000, seed = "20261205")
  void rejectsArbitraryBytes(@ForAll byte[] bytes) {
    ByteBuffer input = ByteBuffer.allocate(bytes.length + Integer.BYTES);
    decodeOrReject(input.putInt(bytes.length).put(bytes).flip());
  }

  @Property(tries = 1000, seed = "20261205")
  void rejectsMessageWithChangedByte(
      @ForAll @IntRange(max = 21) int number, @ForAll int position, @ForAll byte value) {
    byte[] bytes = RelayCodec.encode(MESSAGES.get(number));
    bytes[Integer.BYTES + Math.floorMod(position, bytes.length - Integer.BYTES)] = value;
    decodeOrReject(ByteBuffer.wrap(bytes));
  }

  /** Decodes a message; only the exception for malformed messages may be thrown. */
  private static void decodeOrReject(ByteBuffer input) {
    try {
      assertThat(RelayCodec.decodeNext(input)).isPresent();
    } catch (RelayCodec.MalformedMessageException exception) {
      assertThat(exception).hasMessageNotContaining("OutOfMemory");
    }
  }

  private static RelayMessage directoryOf(List<MemberEntry> members) {
    return new RelayMessage.Directory(
        new DirectoryUpdate(
            Optional.empty(),
            Optional.of(new MemberList(23, OptionalLong.of(19), members)),
            Map.of()));
  }

  @Test
  void rejectsMalformedInput() {
    byte[] unknownKind = {0, 0, 0, 1, 99};
    byte[] tooLong = {127, 0, 0, 0};
    byte[] negative = {-1, 0, 0, 0};
    byte[] cutShort = {0, 0, 0, 1, 0};
    for (byte[] input : List.of(unknownKind, tooLong, negative, cutShort)) {
      assertThatThrownBy(() -> RelayCodec.decodeNext(ByteBuffer.wrap(input)))
          .isInstanceOf(RelayCodec.MalformedMessageException.class);
    }
  }
}
