package org.hickoryshed.client.http;

import java.net.ConnectException;
import java.net.InetAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.hickoryshed.kernel.json.Json;
import org.hickoryshed.kernel.result.Result;

/** A caller of HTTP services. */
public final class JsonHttpClient {

  static {
    // A request is repeated by decision only, never by the library.
    System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
  }

  /** The longest time to wait for a connection. */
  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** The time that a reply may take beyond the timeout of its request. */
  private static final Duration REPLY_MARGIN = Duration.ofMillis(50);

  /** The underlying client. */
  private final HttpClient client;

  /**
   * Creates a new caller.
   *
   * @param source The address that calls come from.
   */
  public JsonHttpClient(InetAddress source) {
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
  public Result<Response, CallFailure> call(
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
    return send(builder.build(), timeout);
  }

  /**
   * Sends a request.
   *
   * <p>The timeout of the request ends with the headers of the reply, so the wait for the whole
   * reply has a bound of its own.
   *
   * @param request The request.
   * @param timeout The longest time to wait for the whole reply.
   * @return The reply or the reason why there is none.
   */
  private Result<Response, CallFailure> send(HttpRequest request, Duration timeout) {
    CompletableFuture<HttpResponse<byte[]>> pending =
        client.sendAsync(request, HttpResponse.BodyHandlers.ofByteArray());
    try {
      HttpResponse<byte[]> response =
          pending.get(timeout.toMillis() + REPLY_MARGIN.toMillis(), TimeUnit.MILLISECONDS);
      return Result.success(
          new Response(response.statusCode(), response.body(), response.headers()));
    } catch (ExecutionException exception) {
      return Result.failure(failure(exception.getCause()));
    } catch (TimeoutException exception) {
      pending.cancel(true);
      return Result.failure(new CallFailure.NoAnswer("the reply did not end in time"));
    } catch (InterruptedException exception) {
      pending.cancel(true);
      Thread.currentThread().interrupt();
      return Result.failure(new CallFailure.NoAnswer("interrupted"));
    }
  }

  /**
   * Tells whether a request that failed may have been sent.
   *
   * @param cause Why it failed.
   * @return The failure.
   */
  private static CallFailure failure(Throwable cause) {
    return cause instanceof HttpConnectTimeoutException || cause instanceof ConnectException
        ? new CallFailure.NotSent(cause.toString())
        : new CallFailure.NoAnswer(String.valueOf(cause));
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
