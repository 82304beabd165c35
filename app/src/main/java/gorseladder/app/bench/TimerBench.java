package gorseladder.app.bench;

import gorseladder.structures.TimerWheel;
import java.util.ArrayDeque;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.TearDown;

/**
 * Benchmarks the timers of a gateway, in which each call sets a timer and cancels it when it ends. An operation sets a
 * timer about three seconds ahead and cancels the oldest one, while {@link #standing} timers are pending.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class TimerBench {
  /** The number of pending timers. */
  @Param({"1000", "100000"})
  public int standing;

  private final Random random = new Random(1);
  private final TimerWheel<Runnable> wheel = new TimerWheel<>(1_000, 0);
  private final ArrayDeque<TimerWheel.Node<Runnable>> wheelNodes = new ArrayDeque<>();
  private final PriorityQueue<long[]> heap =
      new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
  private final ArrayDeque<long[]> heapEntries = new ArrayDeque<>();
  private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
  private final ArrayDeque<ScheduledFuture<?>> futures = new ArrayDeque<>();
  private long nowMicros;

  /** Sets the pending timers. */
  @Setup(Level.Trial)
  public void fill() {
    executor.setRemoveOnCancelPolicy(true);
    for (int i = 0; i < standing; i++) {
      wheelNodes.addLast(wheel.schedule(nextDueAt(), () -> {}));
      long[] entry = {nextDueAt()};
      heap.add(entry);
      heapEntries.addLast(entry);
      futures.addLast(executor.schedule(() -> {}, 3_000 + random.nextInt(1_000), TimeUnit.SECONDS));
    }
  }

  /** Stops the executor's thread. */
  @TearDown(Level.Trial)
  public void stop() {
    executor.shutdownNow();
  }

  private long nextDueAt() {
    nowMicros += 10;
    return nowMicros + 3_000_000 + random.nextInt(100_000);
  }

  /** The timing wheel of this project. */
  @Benchmark
  public boolean wheel() {
    wheelNodes.addLast(wheel.schedule(nextDueAt(), () -> {}));
    return wheel.cancel(wheelNodes.pollFirst());
  }

  /** A binary heap from which any entry can be removed. */
  @Benchmark
  public boolean binaryHeap() {
    long[] entry = {nextDueAt()};
    heap.add(entry);
    heapEntries.addLast(entry);
    return heap.remove(heapEntries.pollFirst());
  }

  /** The scheduled executor of the JDK. */
  @Benchmark
  public boolean scheduledExecutor() {
    futures.addLast(executor.schedule(() -> {}, 3_000 + random.nextInt(1_000), TimeUnit.SECONDS));
    return futures.pollFirst().cancel(false);
  }
}
