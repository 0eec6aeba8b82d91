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
  private static final int EVENTS = 50_000;

  @Test
  void refusesEventsBeyondItsRing() {
    QueueWorker<Integer> duty = duty(new ArrayList<>(), new CountDownLatch(0));

    long taken = IntStream.range(0, 100).filter(duty::offer).count();

    assertThat(taken).isEqualTo(CAPACITY);
  }

  @Test
  void handlesEachTakenEventOnceInOrder() throws InterruptedException {
    List<Integer> handled = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch done = new CountDownLatch(EVENTS);
    QueueWorker<Integer> duty = duty(handled, done);
    duty.start();

    for (int event = 0; event < EVENTS; event++) {
      while (!duty.offer(event)) {
        Thread.onSpinWait();
      }
    }
    done.await();
    duty.stop();

    assertThat(handled).containsExactlyElementsOf(IntStream.range(0, EVENTS).boxed().toList());
  }

  @Test
  void goesOnAfterDefect() throws InterruptedException {
    List<Integer> handled = Collections.synchronizedList(new ArrayList<>());
    CountDownLatch done = new CountDownLatch(1);
    QueueWorker<Integer> duty = duty(handled, done);
    duty.start();

    duty.offer(-1);
    duty.offer(1);
    done.await();
    duty.stop();

    assertThat(handled).containsExactly(1);
  }

  private static QueueWorker<Integer> duty(List<Integer> handled, CountDownLatch done) {
    return new QueueWorker<>(
        "test",
        CAPACITY,
        Duration.ofMillis(10),
        new QueueWorker.Handler<>() {
          @Override
          public void onEvent(Integer event) {
            if (event < 0) {
              throw new IllegalArgumentException("defect");
            }
            handled.add(event);
            done.countDown();
          }

          @Override
          public void onTick() {}
        });
  }
}
