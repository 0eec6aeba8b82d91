package org.hickoryshed.client.http;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;

/** Collects the body of a response and gives up a body that is too long. */
final class LimitedBody implements HttpResponse.BodySubscriber<byte[]> {

  private final HttpResponse.BodySubscriber<byte[]> collected =
      HttpResponse.BodySubscribers.ofByteArray();

  /** The longest body that is taken, in bytes. */
  private final int limitBytes;

  private Flow.Subscription subscription;

  private long receivedBytes;

  LimitedBody(int limitBytes) {
    this.limitBytes = limitBytes;
  }

  @Override
  public CompletionStage<byte[]> getBody() {
    return collected.getBody();
  }

  @Override
  public void onSubscribe(Flow.Subscription created) {
    subscription = created;
    collected.onSubscribe(created);
  }

  @Override
  public void onNext(List<ByteBuffer> buffers) {
    receivedBytes += buffers.stream().mapToLong(ByteBuffer::remaining).sum();
    if (receivedBytes <= limitBytes) {
      collected.onNext(buffers);
    } else {
      subscription.cancel();
      collected.onError(new TooLongException());
    }
  }

  @Override
  public void onError(Throwable thrown) {
    collected.onError(thrown);
  }

  @Override
  public void onComplete() {
    collected.onComplete();
  }

  /** Tells that a body is too long. */
  static final class TooLongException extends IOException {

    private static final long serialVersionUID = 1;

    private TooLongException() {
      super("the body is too long");
    }
  }
}
