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

/**
 * An HTTP client that sends JSON and never repeats a request by itself.
 *
 * <p>Whether a failed request may be repeated depends on whether it may have run, which only the
 * code that sends it can decide; {@link CallFailure} tells what is known. Thread-safe.
 */
public final class JsonHttpClient {

  static {
    // Only the code that sends a request decides whether to repeat it, never the JDK.
    System.setProperty("jdk.httpclient.disableRetryConnect", "true");
    System.setProperty("jdk.httpclient.enableAllMethodRetry", "false");
  }

  private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(300);

  /** The time that the whole response may take beyond the timeout of its request. */
  private static final Duration RESPONSE_MARGIN = Duration.ofMillis(50);

  private final HttpClient client;

  /** The longest body of a response that is taken, in bytes. */
  private final int maxBodyBytes;

  /**
   * Creates a client that takes responses of any length.
   *
   * @param source The local address that connections come from.
   */
  public JsonHttpClient(InetAddress source) {
    this(source, Integer.MAX_VALUE);
  }

  /**
   * Creates a client.
   *
   * @param source The local address that connections come from.
   * @param maxBodyBytes The longest body of a response that is taken, in bytes; a longer one gives
   *     {@link CallFailure.TooLong}.
   */
  public JsonHttpClient(InetAddress source, int maxBodyBytes) {
    this.maxBodyBytes = maxBodyBytes;
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
   * Sends a request and blocks until the whole response arrived.
   *
   * @param method The HTTP method.
   * @param address The address of the service as IP address and port.
   * @param path The path with its query.
   * @param body The value to send as JSON, or {@code null} for none.
   * @param timeout The longest time to wait for the response; opening the connection takes at most
   *     300 ms of it.
   * @param headers Alternating names and values of headers.
   * @return The response of any status, {@link CallFailure.NotSent} if no connection was opened, or
   *     {@link CallFailure.NoAnswer} for every other failure, the timeout and an interrupt
   *     included.
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
   * Sends a request and blocks until the whole response arrived.
   *
   * <p>The timeout of the JDK ends with the headers of the response, so the wait for the body has
   * its own timeout.
   */
  private Result<Response, CallFailure> send(HttpRequest request, Duration timeout) {
    CompletableFuture<HttpResponse<byte[]>> pending =
        client.sendAsync(request, head -> new LimitedBody(maxBodyBytes));
    try {
      HttpResponse<byte[]> response =
          pending.get(timeout.toMillis() + RESPONSE_MARGIN.toMillis(), TimeUnit.MILLISECONDS);
      return Result.success(
          new Response(response.statusCode(), response.body(), response.headers()));
    } catch (ExecutionException exception) {
      return Result.failure(failure(exception));
    } catch (TimeoutException exception) {
      pending.cancel(true);
      return Result.failure(
          new CallFailure.NoAnswer("the response was not complete within the timeout"));
    } catch (InterruptedException exception) {
      pending.cancel(true);
      Thread.currentThread().interrupt();
      return Result.failure(new CallFailure.NoAnswer("interrupted"));
    }
  }

  /** Tells by the cause of a failure whether the request may have been sent. */
  private CallFailure failure(ExecutionException exception) {
    for (Throwable next = exception; next != null; next = next.getCause()) {
      if (next instanceof LimitedBody.TooLongException) {
        return new CallFailure.TooLong(maxBodyBytes);
      }
    }
    Throwable cause = exception.getCause();
    return cause instanceof HttpConnectTimeoutException || cause instanceof ConnectException
        ? new CallFailure.NotSent(cause.toString())
        : new CallFailure.NoAnswer(String.valueOf(cause));
  }

  private static HttpRequest.BodyPublisher publisher(Object body) {
    return body == null
        ? HttpRequest.BodyPublishers.noBody()
        : HttpRequest.BodyPublishers.ofByteArray(Json.write(body));
  }
}
