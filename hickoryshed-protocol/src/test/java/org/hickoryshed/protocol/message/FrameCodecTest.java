package org.hickoryshed.protocol.message;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.decision.configuration.Database;
import org.hickoryshed.decision.configuration.Member;
import org.hickoryshed.decision.configuration.Pool;
import org.hickoryshed.decision.configuration.Route;
import org.hickoryshed.decision.membership.Vm;
import org.hickoryshed.decision.membership.VmList;
import org.hickoryshed.decision.pool.Work;
import org.hickoryshed.decision.topology.LogPosition;
import org.hickoryshed.decision.topology.MemberStatus;
import org.hickoryshed.decision.topology.Role;
import org.hickoryshed.kernel.event.HybridTime;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.protocol.statement.Outcome;
import org.hickoryshed.protocol.statement.Reason;
import org.hickoryshed.protocol.statement.Statement;
import org.hickoryshed.protocol.statement.TransactionId;
import org.junit.jupiter.api.Test;

/** Tests of {@link FrameCodec}. */
class FrameCodecTest {

  private static final HybridTime TIME = new HybridTime(1_700_000_000_000L, 3);
  private static final LogPosition POSITION = new LogPosition(3, 17);
  private static final MemberStatus STATUS =
      new MemberStatus("a-1", Role.PRIMARY, 3, 3, 17, 17, Optional.of("a-1"));

  @Test
  void roundTripsDocuments() throws IOException {
    Member member = new Member("a-1", "127.0.0.1:1", "north", "east");
    Pool pool =
        new Pool(
            "p",
            List.of(new Database("a", List.of(member))),
            16,
            2,
            Pool.Scheduling.SHORT_FIRST,
            50);
    Route route =
        new Route("r", "p", Route.Access.READ, Route.Reads.REPLICAS, Optional.of(5), 100, 1);
    Vm vm = new Vm("v", "north", "127.0.0.1:2", "127.0.0.1:3", false);
    assertRoundTrip(
        new Message.Documents(
            Optional.of(new Configuration(4, "edit", List.of(route), List.of(pool))),
            Optional.of(new VmList(2, List.of(vm), List.of("a-2")))));
  }

  @Test
  void roundTripsExecute() throws IOException {
    Statement statement = new Statement("get", Json.mapper().createObjectNode().put("k", 1));
    assertRoundTrip(
        new Message.Execute(
            "a",
            "a-1",
            "r/get",
            Work.Kind.READ,
            Optional.of(statement),
            POSITION,
            Optional.of("key"),
            Optional.of(new TransactionId("v", "i", "a", "a-1", 4)),
            true,
            1,
            100));
  }

  @Test
  void roundTripsEachOutcome() throws IOException {
    List<Outcome> outcomes =
        List.of(
            new Outcome.Done(Json.mapper().createArrayNode().add("row"), POSITION, "a-1", true),
            new Outcome.NotRun(Reason.OVERLOADED, "why", 20),
            new Outcome.Unknown(Reason.ANSWER_LOST, "why"));
    for (Outcome outcome : outcomes) {
      assertRoundTrip(new Message.Executed(outcome, Optional.of(STATUS)));
    }
  }

  @Test
  void roundTripsEmptyResponses() throws IOException {
    assertRoundTrip(new Message.Documents(Optional.empty(), Optional.empty()));
    assertRoundTrip(new Message.Barrier(Optional.empty()));
    assertRoundTrip(new Message.Status(Optional.empty()));
  }

  @Test
  void rejectsFrameThatIsCutOff() throws IOException {
    byte[] written = write(new Frame(1, false, TIME, new Message.AskDocuments(1, 1)));
    byte[] cut = java.util.Arrays.copyOf(written, written.length - 1);

    assertThatThrownBy(() -> FrameCodec.read(input(cut))).isInstanceOf(IOException.class);
  }

  @Test
  void rejectsLengthOutOfRange() {
    byte[] written = {127, 0, 0, 0};

    assertThatThrownBy(() -> FrameCodec.read(input(written)))
        .isInstanceOf(IOException.class)
        .isNotInstanceOf(EOFException.class);
  }

  private static void assertRoundTrip(Message message) throws IOException {
    Frame frame = new Frame(7, true, TIME, message);

    assertThat(FrameCodec.read(input(write(frame)))).isEqualTo(frame);
  }

  private static byte[] write(Frame frame) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    FrameCodec.write(new DataOutputStream(output), FrameCodec.encode(frame));
    return output.toByteArray();
  }

  private static DataInputStream input(byte[] content) {
    return new DataInputStream(new ByteArrayInputStream(content));
  }
}
