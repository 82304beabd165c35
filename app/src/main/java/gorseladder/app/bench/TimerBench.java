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
 * The work of a gateway's timers: a call sets one, and takes it back when it ends, while so many stand. The oldest
 * standing timer is cancelled and a new one is set, about three seconds ahead.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
public class TimerBench {
  /** Timers that stand. */
  @Param({"1000", "100000"})
  public int standing;

  private final Random random = new Random(1);
  private final TimerWheel<Runnable> wheel = new TimerWheel<>(1_000, 0);
  private final ArrayDeque<TimerWheel.Node<Runnable>> wheelNodes = new ArrayDeque<>();
  private final PriorityQueue<long[]> heap =
      new PriorityQueue<>((a, b) -> Long.compare(a[0], b[0]));
  private final ArrayDeque<long[]> heapNodes = new ArrayDeque<>();
  private final ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1);
  private final ArrayDeque<ScheduledFuture<?>> futures = new ArrayDeque<>();
  private long now;

  /** Sets the timers that stand. */
  @Setup(Level.Trial)
  public void fill() {
    executor.setRemoveOnCancelPolicy(true);
    for (int i = 0; i < standing; i++) {
      wheelNodes.addLast(wheel.schedule(due(), () -> {}));
      long[] entry = {due()};
      heap.add(entry);
      heapNodes.addLast(entry);
      futures.addLast(executor.schedule(() -> {}, 3_000 + random.nextInt(1_000), TimeUnit.SECONDS));
    }
  }

  /** Ends the executor's thread. */
  @TearDown(Level.Trial)
  public void stop() {
    executor.shutdownNow();
  }

  private long due() {
    now += 10;
    return now + 3_000_000 + random.nextInt(100_000);
  }

  /** The project's wheel. */
  @Benchmark
  public boolean wheel() {
    wheelNodes.addLast(wheel.schedule(due(), () -> {}));
    return wheel.cancel(wheelNodes.pollFirst());
  }

  /** A binary heap, with removal from its middle. */
  @Benchmark
  public boolean binaryHeap() {
    long[] entry = {due()};
    heap.add(entry);
    heapNodes.addLast(entry);
    return heap.remove(heapNodes.pollFirst());
  }

  /** The library's scheduled executor. */
  @Benchmark
  public boolean scheduledExecutor() {
    futures.addLast(executor.schedule(() -> {}, 3_000 + random.nextInt(1_000), TimeUnit.SECONDS));
    return futures.pollFirst().cancel(false);
  }
}
