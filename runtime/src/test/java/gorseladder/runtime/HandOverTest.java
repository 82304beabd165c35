package gorseladder.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/** Guards against wake-ups that are lost when a hand-over coincides with the start or the end of the other's wait. */
class HandOverTest {
  private static final int PRODUCERS = 4;
  private static final long RUN_NANOS = 1_000_000_000;
  /** Longer than any stall of a busy machine; the watchdog wakes by itself after a second. */
  private static final long MAX_WAIT_NANOS = 10_000_000_000L;

  private static final long MAX_LATENCY_NANOS = 900_000_000;
  private static final int MAX_DELAY_NANOS = 2_000;
  private static final long SEED = 44;

  /** The number that the producer whose turn it is hands over next; 0 before the first round, -1 after the last. */
  private volatile long round;

  private volatile long lastRun;

  /**
   * A lost wake-up leaves a message in the mailbox until the next one; here the next one follows only when it is taken.
   */
  @Test
  void aMessageAlwaysWakesTheTaker() throws Exception {
    Mailbox<Long> mailbox = new Mailbox<>(1);
    Random random = new Random(SEED);
    start(mailbox::put);
    long longest = 0;
    for (long end = System.nanoTime() + RUN_NANOS; System.nanoTime() < end; ) {
      long begin = System.nanoTime();
      long now = ++round;
      Long got = null;
      for (int i = random.nextInt(4); i > 0 && got == null; i--) {
        got = mailbox.take(random.nextInt(20_000));
      }
      assertEquals(now, got != null ? got : mailbox.take(MAX_WAIT_NANOS));
      longest = Math.max(longest, System.nanoTime() - begin);
    }
    round = -1;
    assertTrue(longest < MAX_LATENCY_NANOS, longest + " ns");
  }

  /** A lost wake-up makes a timer run only when the thread wakes by itself, up to a second late. */
  @Test
  void aTimerAlwaysWakesTheWatchdog() {
    try (Watchdog watchdog = new Watchdog("watchdog", 256 << 10)) {
      start(number -> watchdog.after(number % 100, () -> lastRun = number));
      long longest = 0;
      for (long end = System.nanoTime() + RUN_NANOS; System.nanoTime() < end; ) {
        long begin = System.nanoTime();
        long now = ++round;
        while (lastRun != now && System.nanoTime() - begin < MAX_WAIT_NANOS) {
          Thread.onSpinWait();
        }
        longest = Math.max(longest, System.nanoTime() - begin);
      }
      assertTrue(longest < MAX_LATENCY_NANOS, longest + " ns");
    }
    round = -1;
  }

  private void start(LongConsumer handOver) {
    for (int i = 0; i < PRODUCERS; i++) {
      int number = i;
      Threads.start("producer", 256 << 10, () -> run(number, handOver));
    }
  }

  /** Hands over in this producer's rounds, a random time after the round began. */
  private void run(int number, LongConsumer handOver) {
    Random random = new Random(SEED + number);
    long done = 0;
    for (long now = round; now >= 0; now = round) {
      if (now == done || now % PRODUCERS != number) {
        Thread.onSpinWait();
        continue;
      }
      for (long from = System.nanoTime(), wait = random.nextInt(MAX_DELAY_NANOS);
          System.nanoTime() - from < wait; ) {
        Thread.onSpinWait();
      }
      done = now;
      handOver.accept(now);
    }
  }
}
