package gorseladder.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class TurnQueueTest {
  private static final long MAX_HELD_MICROS = 50_000;
  private static final int LIMIT = 2;
  private static final int THREADS = 40;
  private static final int ROUNDS = 500;

  /** First come, first served. */
  private static final class Order {
    private final ArrayDeque<TurnQueue.Turn> waiting = new ArrayDeque<>();
    private int running;

    private boolean tryStart(TurnQueue.Turn turn) {
      if (running < LIMIT) {
        running++;
        return true;
      }
      waiting.addLast(turn);
      return false;
    }

    private TurnQueue.Turn finish() {
      running -= waiting.isEmpty() ? 1 : 0;
      return waiting.pollFirst();
    }
  }

  private final Order order = new Order();
  private TurnQueue queue = new TurnQueue(order::tryStart, order::finish, MAX_HELD_MICROS);

  private static List<Thread> start(int count, Runnable task) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      Thread thread = new Thread(task);
      thread.setDaemon(true);
      thread.start();
      threads.add(thread);
    }
    return threads;
  }

  @Test
  void everyThreadGetsItsTurns() throws Exception {
    AtomicInteger done = new AtomicInteger();
    List<Thread> threads = start(THREADS, () -> {
      TurnQueue.Turn turn = queue.newTurn();
      for (int round = 0; round < ROUNDS; round++) {
        turn.acquire();
        done.incrementAndGet();
        turn.release();
      }
    });
    long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
    for (Thread thread : threads) {
      thread.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
    }
    assertEquals(THREADS * ROUNDS, done.get());
    assertEquals(0, order.running);
  }

  /** Guards against a thread whose turn is passed on before it has seen it, and which then waits for ever. */
  @Test
  void turnsThatArePassedOnAtOnceLeaveNoThreadWaiting() throws Exception {
    queue = new TurnQueue(order::tryStart, order::finish, 1);
    everyThreadGetsItsTurns();
  }

  @Test
  void aFreeTurnIsTakenWithoutAWait() {
    TurnQueue.Turn turn = queue.newTurn();
    for (int round = 0; round < ROUNDS; round++) {
      turn.acquire();
      turn.release();
    }
    assertEquals(0, turn.waited());
    assertTrue(queue.summary().startsWith("0 waits"), queue.summary());
  }

  /** Guards against holders that stand still, as many as there are turns, and keep all other threads waiting. */
  @Test
  void turnsWhoseHoldersStandStillArePassedOn() throws Exception {
    CountDownLatch released = new CountDownLatch(1);
    CountDownLatch held = new CountDownLatch(LIMIT);
    start(LIMIT, () -> {
      TurnQueue.Turn turn = queue.newTurn();
      turn.acquire();
      held.countDown();
      await(released);
      turn.release();
    });
    held.await();
    CountDownLatch others = new CountDownLatch(THREADS);
    start(THREADS, () -> {
      TurnQueue.Turn turn = queue.newTurn();
      turn.acquire();
      turn.release();
      others.countDown();
    });
    assertTrue(others.await(2, TimeUnit.SECONDS), others.getCount() + " threads still wait");
    released.countDown();
    everyThreadGetsItsTurns();
  }

  private static void await(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
