package gorseladder.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.BindException;
import java.net.ConnectException;
import java.net.SocketException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;

class ThreadCacheTest {
  private final AtomicBoolean failing = new AtomicBoolean();
  private final AtomicInteger starts = new AtomicInteger();
  private final ThreadCache threads = new ThreadCache("t", 2, task -> new Thread(task) {
    @Override
    public void start() {
      if (failing.get()) {
        throw new OutOfMemoryError("test: no thread");
      }
      starts.incrementAndGet();
      setDaemon(true);
      super.start();
    }
  });

  /** Incident-1: each connection that ended took its thread with it, and the system gave no new one. */
  @Test
  void whileTheSystemHasNoThreadThoseThatAreDoneServeOn() throws Exception {
    failing.set(true);
    AtomicInteger served = new AtomicInteger();
    CountDownLatch free = new CountDownLatch(40);
    threads.whenFree(free::countDown);
    for (int i = 0; i < 40; ) {
      if (threads.execute(served::incrementAndGet)) {
        i++;
      } else {
        Thread.sleep(1);
      }
    }
    assertTrue(free.await(2, TimeUnit.SECONDS));
    assertEquals(40, served.get());
    assertEquals(2, starts.get());
    threads.close();
  }

  /** A failed start costs the caller some milliseconds: of many starts in a row most must not be tried. */
  @Test
  void vainStartsAreSpacedOut() throws Exception {
    CountDownLatch go = new CountDownLatch(1);
    Runnable blocks = () -> {
      try {
        go.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    };
    while (threads.idle() < 2) {
      Thread.onSpinWait();
    }
    assertTrue(threads.execute(blocks));
    assertTrue(threads.execute(blocks));
    failing.set(true);
    for (int i = 0; i < 1_000; i++) {
      assertFalse(threads.execute(blocks));
    }
    assertTrue(threads.failedStarts() < 100, threads.failedStarts() + " starts tried");
    go.countDown();
    threads.close();
  }

  @Test
  void aWantOfThisMachineIsToldFromAnEndOfTheOtherSide() {
    assertTrue(LocalShortage.is(new BindException("Cannot assign requested address")));
    assertTrue(LocalShortage.is(new SocketException("Too many open files in system")));
    assertTrue(LocalShortage.is(new SocketException("No buffer space available")));
    assertFalse(LocalShortage.is(new ConnectException("Connection refused")));
    assertFalse(LocalShortage.is(new SocketException((String) null)));
  }
}
