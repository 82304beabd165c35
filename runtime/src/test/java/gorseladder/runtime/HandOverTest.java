package gorseladder.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.function.LongConsumer;
import org.junit.jupiter.api.Test;

/** Threads hand over just when the other side begins to wait, or its wait runs out: no wake-up is lost. */
class HandOverTest {
  private static final int PRODUCERS = 4;
  private static final long PLAY_NANOS = 1_000_000_000;
  /** Longer than any stop of a busy machine; the watchdog wakes of itself after a second. */
  private static final long LONG = 10_000_000_000L;

  private static final long LATE = 900_000_000;
  private static final int MOST_BEFORE = 2_000;
  private static final long SEED = 44;

  /** Handed over next by the producer whose turn it is; 0 before the first, -1 after the last. */
  private volatile long round;

  private volatile long ran;

  /** With a lost wake-up a message lay until the next one came; here none comes before it is taken. */
  @Test
  void aMessageAlwaysWakesTheTaker() throws Exception {
    Mailbox<Long> mailbox = new Mailbox<>(1);
    Random random = new Random(SEED);
    start(mailbox::put);
    long longest = 0;
    for (long end = System.nanoTime() + PLAY_NANOS; System.nanoTime() < end; ) {
      long begin = System.nanoTime();
      long now = ++round;
      Long got = null;
      for (int i = random.nextInt(4); i > 0 && got == null; i--) {
        got = mailbox.take(random.nextInt(20_000));
      }
      assertEquals(now, got != null ? got : mailbox.take(LONG));
      longest = Math.max(longest, System.nanoTime() - begin);
    }
    round = -1;
    assertTrue(longest < LATE, longest + " ns");
  }

  /** With a lost wake-up a timer ran when the thread woke of itself, up to a second late. */
  @Test
  void aTimerAlwaysWakesTheWatchdog() {
    try (Watchdog watchdog = new Watchdog("watchdog", 256 << 10)) {
      start(number -> watchdog.after(number % 100, () -> ran = number));
      long longest = 0;
      for (long end = System.nanoTime() + PLAY_NANOS; System.nanoTime() < end; ) {
        long begin = System.nanoTime();
        long now = ++round;
        while (ran != now && System.nanoTime() - begin < LONG) {
          Thread.onSpinWait();
        }
        longest = Math.max(longest, System.nanoTime() - begin);
      }
      assertTrue(longest < LATE, longest + " ns");
    }
    round = -1;
  }

  private void start(LongConsumer handOver) {
    for (int i = 0; i < PRODUCERS; i++) {
      int number = i;
      Threads.start("producer", 256 << 10, () -> run(number, handOver));
    }
  }

  /** Hands over in its turns, a random moment after the round began. */
  private void run(int number, LongConsumer handOver) {
    Random random = new Random(SEED + number);
    long done = 0;
    for (long now = round; now >= 0; now = round) {
      if (now == done || now % PRODUCERS != number) {
        Thread.onSpinWait();
        continue;
      }
      for (long from = System.nanoTime(), wait = random.nextInt(MOST_BEFORE);
          System.nanoTime() - from < wait; ) {
        Thread.onSpinWait();
      }
      done = now;
      handOver.accept(now);
    }
  }
}
