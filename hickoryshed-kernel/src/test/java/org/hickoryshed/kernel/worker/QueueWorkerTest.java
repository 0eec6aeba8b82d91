package org.hickoryshed.kernel.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Tests of {@link QueueWorker}. */
class QueueWorkerTest {

  private static final int CAPACITY = 8;
  private static final int ITEMS = 50_000;

  @Test
  void refusesItemsWhenQueueIsFull() {
    QueueWorker<Integer> worker = worker(new ArrayList<>(), new CountDownLatch(0));

    long accepted = IntStream.range(0, 100).filter(worker::offer).count();

    assertThat(accepted).isEqualTo(CAPACITY);
  }

  @Test
  void handlesEachAcceptedItemOnceInOrder() throws InterruptedException {
    List<Integer> handled = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch done = new CountDownLatch(ITEMS);
    QueueWorker<Integer> worker = worker(handled, done);
    worker.start();

    for (int item = 0; item < ITEMS; item++) {
      while (!worker.offer(item)) {
        Thread.onSpinWait();
      }
    }
    done.await();
    worker.stop();

    assertThat(handled).containsExactlyElementsOf(IntStream.range(0, ITEMS).boxed().toList());
  }

  @Test
  void continuesAfterExceptionOfHandler() throws InterruptedException {
    List<Integer> handled = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch done = new CountDownLatch(1);
    QueueWorker<Integer> worker = worker(handled, done);
    worker.start();

    worker.offer(-1);
    worker.offer(1);
    done.await();
    worker.stop();

    assertThat(handled).containsExactly(1);
  }

  private static QueueWorker<Integer> worker(List<Integer> handled, CountDownLatch done) {
    return new QueueWorker<>(
        "test",
        CAPACITY,
        Duration.ofMillis(10),
        new QueueWorker.Handler<>() {
          @Override
          public void onItem(Integer item) {
            if (item < 0) {
              throw new IllegalArgumentException("thrown by the test");
            }
            handled.add(item);
            done.countDown();
          }

          @Override
          public void onTick() {}
        });
  }
}
