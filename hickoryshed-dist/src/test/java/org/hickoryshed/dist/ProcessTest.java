package org.hickoryshed.dist;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.load.caller.Caller;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests of the real binaries while processes are killed, frozen or unreachable. The assertions
 * check what was answered, never how long it took.
 */
class ProcessTest {

  private static final int WRITES = 30;
  private static final String GET = "{\"statement\": \"get\", \"arguments\": {}}";

  /**
   * Fewer writes are awaited while one of the three proxies is frozen: a third of the requests
   * waits for it until the caller times out.
   */
  private static final int WRITES_WITH_FROZEN_PROXY = 8;

  @TempDir Path directory;
  private Cluster cluster;
  private RecordingCallers callers;

  @BeforeEach
  void start() {
    cluster = new Cluster(directory);
    callers = new RecordingCallers(cluster);
  }

  @AfterEach
  void stop() {
    cluster.close();
  }

  @Test
  void staysConsistentWhileProcessesAreFrozenAndKilled() throws InterruptedException {
    callers.start();
    callers.awaitWrites(WRITES);

    // A frozen primary is replaced and resumes without knowing it.
    int frozen = cluster.primary().orElseThrow();
    cluster.signal("a-" + frozen, "STOP");
    cluster.await(
        "another primary", () -> cluster.primary().filter(domain -> domain != frozen).isPresent());
    callers.awaitWrites(WRITES);
    cluster.signal("a-" + frozen, "CONT");
    callers.awaitWrites(WRITES);

    // A proxy is frozen while it holds unacknowledged commits; later another one is killed.
    cluster.signal("entry-1", "STOP");
    callers.awaitWrites(WRITES_WITH_FROZEN_PROXY);
    cluster.signal("entry-1", "CONT");
    cluster.signal("entry-2", "KILL");
    callers.awaitWrites(WRITES);
    cluster.startProxy(2);

    // A primary is killed and not restarted.
    cluster.signal("a-" + cluster.primary().orElseThrow(), "KILL");
    callers.awaitWrites(WRITES);
    callers.stop();

    assertThat(callers.check()).isEmpty();
  }

  @Test
  void startsWithConfigurationOfPeerWhileStoreIsDown() {
    cluster.signal("platform", "STOP");
    cluster.signal("entry-3", "KILL");
    cluster.await("the end of the proxy", () -> cluster.hasExited("entry-3"));

    cluster.startProxy(3);

    cluster.await("the proxy is ready", () -> cluster.isReady(3));
    Caller caller = new Caller(cluster.http());
    Caller.Request write = Caller.Request.of("append", "o", "v").withKey("k");
    cluster.await("a write", () -> send(caller, 3, write).isDone());
  }

  @Test
  void adoptsConfigurationWhoseWriteResponseWasLost() {
    Configuration next =
        Cluster.configuration()
            .edit("second", Cluster.configuration().routes(), Cluster.configuration().pools());
    cluster.storeFaults(Map.of("dropAnswers", 1));

    assertThat(cluster.write(next)).as("the answer is lost").isFalse();

    cluster.await(
        "the edit is in force",
        () -> Cluster.DOMAINS.stream().allMatch(domain -> cluster.revision(domain) == 2));
    assertThat(cluster.write(next)).as("a second edit of the same revision").isFalse();
  }

  @Test
  void completesAllRequestsDuringGracefulShutdown() throws InterruptedException {
    callers.start();
    callers.awaitWrites(WRITES);

    cluster.signal("entry-1", "TERM");
    cluster.await("the end of the proxy", () -> cluster.hasExited("entry-1"));
    callers.awaitWrites(WRITES);
    callers.stop();

    assertThat(callers.unknownDetails()).isEmpty();
    assertThat(callers.check()).isEmpty();
  }

  @Test
  void rollsBackTransactionOfKilledProxy() {
    Caller caller = new Caller(cluster.http());
    Caller.Request begin = Caller.Request.of("begin", "t", "");
    cluster.await("a write", () -> send(caller, 1, Caller.Request.of("append", "w", "1")).isDone());
    Caller.Answer begun = caller.send(cluster.proxy(1), Cluster.ORDERS + "/transactions", begin);
    String path = Cluster.ORDERS + "/transactions/" + begun.transaction();
    assertThat(
            caller
                .send(
                    cluster.proxy(2),
                    path + "/statements",
                    Caller.Request.of("append", "t", "half"))
                .isDone())
        .isTrue();

    String pooler = begun.transaction().substring(0, begun.transaction().indexOf('~'));
    cluster.signal(pooler, "KILL");
    int other = pooler.equals("entry-1") ? 2 : 1;
    Caller.Answer commit =
        caller.send(cluster.proxy(other), path + "/commit", Caller.Request.of("c", "t", ""));

    assertThat(commit.outcome()).isNotEqualTo("done");
    Caller.Answer read =
        new Caller(cluster.http())
            .send(cluster.proxy(other), Cluster.STOCK, Caller.Request.of("get", "t", ""));
    assertThat(read.values()).isEqualTo(List.of());
  }

  @Test
  void answersInvalidRequestsWithTypedProblems() {
    assertThat(problem(Cluster.STOCK, "{")).isEqualTo("/problems/malformed-body");
    assertThat(problem(Cluster.STOCK, "{}")).isEqualTo("/problems/malformed-body");
    assertThat(problem("/v1/routes/none/statements", GET)).isEqualTo("/problems/unknown-route");
    assertThat(problem("/v1/nothing", GET)).isEqualTo("/problems/unknown-path");
    assertThat(problem(Cluster.STOCK, "\"" + "x".repeat(2_000_000) + "\""))
        .isEqualTo("/problems/body-too-large");
    assertThat(problem(Cluster.STOCK, GET, "Hickoryshed-Session", "garbage"))
        .isEqualTo("/problems/malformed-session");
    assertThat(problem(Cluster.STOCK, GET.replace("get", "drop"))).isEqualTo("/problems/rejected");
    assertThat(problem(Cluster.ORDERS + "/transactions/x/commit", ""))
        .isEqualTo("/problems/no-transaction");
    assertThat(cluster.metrics(1)).contains("hickoryshed_requests_malformed_total");
  }

  private String problem(String path, String body, String... headers) {
    return cluster.post(1, path, body, headers).path("type").asText();
  }

  private Caller.Answer send(Caller caller, int domain, Caller.Request request) {
    return caller.send(cluster.proxy(domain), Cluster.ORDERS + "/statements", request);
  }
}
