package org.hickoryshed.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.Optional;
import org.hickoryshed.client.http.CallFailure;
import org.hickoryshed.client.http.JsonHttpClient;
import org.hickoryshed.client.http.Response;
import org.hickoryshed.kernel.result.Result;

/**
 * Asks a running proxy where a statement would go now, and why. Nothing is sent to a member.
 *
 * @param http The client of the proxy.
 * @param proxy The admin address of the proxy.
 */
record ExplainCommand(JsonHttpClient http, String proxy) {

  private static final Duration TIMEOUT = Duration.ofSeconds(2);

  /**
   * What is asked.
   *
   * @param route The name of the database.
   * @param workspace The workspace, empty for none.
   * @param session The last commit of the session as TERM.INDEX, {@code floor}, or empty.
   * @param write True for a statement that may write.
   */
  record Question(String route, String workspace, String session, boolean write) {

    private String path() {
      return "/v1/explain?route="
          + encode(route)
          + (workspace.isEmpty() ? "" : "&workspace=" + encode(workspace))
          + (session.isEmpty() ? "" : "&session=" + encode(session))
          + (write ? "&write=1" : "");
    }

    private static String encode(String text) {
      return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }
  }

  /**
   * Asks the proxy.
   *
   * @return The explanation, or why there is none.
   */
  Result<JsonNode, String> ask(Question question) {
    return switch (http.call("GET", proxy, question.path(), null, TIMEOUT)) {
      case Result.Failed<Response, CallFailure>(CallFailure failure) ->
          Result.failure(proxy + " did not answer: " + failure);
      case Result.Success<Response, CallFailure>(Response response) -> {
        Optional<JsonNode> body = response.as(JsonNode.class).value();
        yield response.status() == 200 && body.isPresent()
            ? Result.success(body.get())
            : Result.failure(
                body.map(problem -> problem.path("detail").asText())
                    .orElse(proxy + " responded with status " + response.status()));
      }
    };
  }

  /** Writes an explanation for a terminal. */
  static String write(JsonNode explanation) {
    StringBuilder text = new StringBuilder();
    text.append(
        String.format(
            Locale.ROOT,
            "route %s, version %s, asked at %s%n"
                + "  reads: %s; choice: %s; required position: %s; newest floor: %s%n"
                + "  %s%s%n",
            explanation.path("route").asText(),
            explanation.path("desiredVersion").asText(),
            explanation.path("proxy").asText(),
            explanation.path("freshness").asText("unknown"),
            explanation.path("balancing").asText("none"),
            explanation.path("required").asText("only the primary may respond"),
            age(explanation.path("floorAgeMillis")),
            explanation.path("outcome").asText(),
            explanation.has("member") ? " to " + explanation.path("member").asText() : ""));
    for (JsonNode member : explanation.path("members")) {
      text.append(
          String.format(
              Locale.ROOT,
              "  %-14s %-12s %-8s %5.1f%%  %-36s at %s, in flight %s, window %s, %s,"
                  + " load told %s, via %s%n",
              member.path("id").asText(),
              member.path("domain").asText(),
              member.path("primary").asBoolean() ? "primary" : "replica",
              100 * member.path("share").asDouble(),
              member.path("verdict").asText(),
              member.path("position").asText(),
              member.path("inFlight").asText(),
              member.path("window").asText(),
              member.path("trust").asText(),
              age(member.path("reportAgeMillis")),
              member.path("holder").asText("own connections")));
    }
    return text.toString();
  }

  private static String age(JsonNode millis) {
    return millis.isNumber() ? millis.asLong() + " ms ago" : "unknown";
  }
}
