package org.hickoryshed.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntPredicate;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.platform.StoreClient;
import org.hickoryshed.decision.configuration.Configuration;
import org.hickoryshed.kernel.result.Result;
import org.hickoryshed.kernel.settings.SettingsReader;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that an edit is recognised after a lost answer, before a store that loses some. */
class TableEditorTest {

  private static final String FIRST_EDIT =
      """
      [pools.orders.databases.a.members.a-1]
      address = "127.0.0.1:1"
      domain = "d"
      region = "r"
      """;

  private final FakeStore store = new FakeStore();

  private TableEditor editor;

  @BeforeEach
  void createEditor() throws IOException {
    JsonHttpClient http = new JsonHttpClient(InetAddress.getByName("127.0.0.1"));
    editor = new TableEditor(new StoreClient(http, store.address()), "operator");
  }

  @AfterEach
  void stopStore() {
    store.server.stop(0);
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3, 4, 5})
  void acceptsEditWhicheverAnswerIsLost(int lost) {
    store.loses = call -> call == lost;

    assertThat(apply(FIRST_EDIT).value()).map(Configuration::revision).contains(1L);
  }

  @Test
  void acceptsEditWhoseLastWriteHasNoAnswer() {
    // The calls alternate between reads and writes; only the last write reaches the store.
    store.rejects = call -> call % 2 == 1 && call < 9;
    store.loses = call -> call == 9;

    assertThat(apply(FIRST_EDIT).value()).map(Configuration::revision).contains(1L);
  }

  @Test
  void acceptsEditAgainThatAnEarlierRunWrote() {
    apply(FIRST_EDIT);

    assertThat(apply(FIRST_EDIT).value()).map(Configuration::revision).contains(1L);
  }

  @Test
  void reportsConflictWithAnotherEdit() {
    apply(FIRST_EDIT);
    Result<Configuration, EditFailure> second = apply(FIRST_EDIT.replace("a-1", "a-2"));

    assertThat(second).isInstanceOf(Result.Failed.class);
    assertThat(((Result.Failed<Configuration, EditFailure>) second).failure())
        .isInstanceOf(EditFailure.Conflict.class);
  }

  private Result<Configuration, EditFailure> apply(String tables) {
    return editor.apply(new SettingsReader("tables.toml", tables));
  }

  /** A store in memory that can reject calls, or execute them and lose the answer. */
  private static final class FakeStore {

    private final HttpServer server;

    private final Map<String, byte[]> contents = new HashMap<>();

    private final Map<String, Long> versions = new HashMap<>();

    /** Tells by the number of a call, from zero, if it is rejected without being executed. */
    private IntPredicate rejects = call -> false;

    /** Tells by the number of a call, from zero, if it is executed but not answered. */
    private IntPredicate loses = call -> false;

    private int calls;

    private FakeStore() {
      try {
        server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
      } catch (IOException exception) {
        throw new IllegalStateException(exception);
      }
      server.createContext("/", this::handle);
      server.start();
    }

    private String address() {
      return "127.0.0.1:" + server.getAddress().getPort();
    }

    private void handle(HttpExchange exchange) throws IOException {
      int call = calls++;
      byte[] body = exchange.getRequestBody().readAllBytes();
      if (rejects.test(call)) {
        exchange.sendResponseHeaders(503, -1);
        exchange.close();
        return;
      }
      String path = exchange.getRequestURI().getPath();
      long version = versions.getOrDefault(path, 0L);
      if (exchange.getRequestMethod().equals("PUT")) {
        boolean matches =
            exchange.getRequestHeaders().getFirst("If-Match").equals(String.valueOf(version));
        if (matches) {
          contents.put(path, body);
          versions.put(path, version + 1);
        }
        answer(exchange, call, matches ? 200 : 412, new byte[0]);
      } else {
        exchange.getResponseHeaders().set("Version", String.valueOf(version));
        answer(exchange, call, version == 0 ? 404 : 200, contents.getOrDefault(path, new byte[0]));
      }
    }

    private void answer(HttpExchange exchange, int call, int status, byte[] content)
        throws IOException {
      if (!loses.test(call)) {
        exchange.sendResponseHeaders(status, content.length == 0 ? -1 : content.length);
        exchange.getResponseBody().write(content);
      }
      exchange.close();
    }
  }
}
