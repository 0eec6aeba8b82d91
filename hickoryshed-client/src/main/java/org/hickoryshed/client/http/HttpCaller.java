package org.hickoryshed.client.http;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.Executors;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.kernel.result.Result;

/** A caller of HTTP services. */
public final class HttpCaller {

  static {
    // A request is repeated by decision only, never by the library.
    System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
  }

  /** The longest time to wait for a connection. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** The underlying client. */
  private final HttpClient client;

  /**
   * Creates a new caller.
   *
   * @param source The address that calls come from.
   */
  public HttpCaller(InetAddress source) {
    client =
        HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .localAddress(source)
            .sslContext(new PlainOnlySslContext())
            .executor(Executors.newVirtualThreadPerTaskExecutor())
            .build();
  }

  /**
   * Sends a request and waits for its reply.
   *
   * @param method The HTTP method.
   * @param address The address of the service as IP number and port.
   * @param path The path with its query.
   * @param body The value to send as JSON, or {@code null} for none.
   * @param timeout The longest time to wait for the reply.
   * @param headers Alternating names and values of headers.
   * @return The reply or the reason why there is none.
   */
  public Result<Reply, CallFailure> call(
      String method,
      String address,
      String path,
      Object body,
      Duration timeout,
      String... headers) {
    HttpRequest.Builder builder =
        HttpRequest.newBuilder(URI.create("http://" + address + path))
            .timeout(timeout)
            .method(method, publisher(body));
    if (headers.length > 0) {
      builder.headers(headers);
    }
    return send(builder.build());
  }

  /**
   * Sends a request.
   *
   * @param request The request.
   * @return The reply or the reason why there is none.
   */
  private Result<Reply, CallFailure> send(HttpRequest request) {
    try {
      HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return Result.success(new Reply(response.statusCode(), response.body(), response.headers()));
    } catch (HttpConnectTimeoutException | ConnectException exception) {
      return Result.failure(new CallFailure.NotSent(exception.toString()));
    } catch (IOException exception) {
      return Result.failure(new CallFailure.NoAnswer(exception.toString()));
    } catch (InterruptedException exception) {
      Thread.currentThread().interrupt();
      return Result.failure(new CallFailure.NoAnswer("interrupted"));
    }
  }

  /**
   * Returns a publisher of a body.
   *
   * @param body The value to send as JSON, or {@code null} for none.
   * @return A publisher of the body.
   */
  private static HttpRequest.BodyPublisher publisher(Object body) {
    return body == null
        ? HttpRequest.BodyPublishers.noBody()
        : HttpRequest.BodyPublishers.ofByteArray(Json.write(body));
  }
}
