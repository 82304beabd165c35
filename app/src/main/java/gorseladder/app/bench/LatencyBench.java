package gorseladder.app.bench;

import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import gorseladder.testbed.TestFleet;
import gorseladder.testbed.script.DayScript;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code bench latency}: compares calls through an edge with direct calls to a runner, interleaved in one run. */
@Command(
    name = "latency",
    mixinStandardHelpOptions = true,
    description =
        "Latency through one edge process against straight to a runner, at 10 %%, 50 %% and 90 %% of what the edge "
            + "holds. Open loop, from the intended send time.")
final class LatencyBench implements Runnable {
  private static final int STACK_BYTES = 256 << 10;

  @Option(
      names = "--seconds",
      defaultValue = "6",
      description = "Seconds for each figure (default ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--warmup",
      defaultValue = "10",
      description = "Seconds before each class is measured (default ${DEFAULT-VALUE}).")
  private int warmup;

  @Option(
      names = "--work-ms",
      defaultValue = "10",
      description = "Work of a call (default ${DEFAULT-VALUE}).")
  private int workMillis;

  @Option(
      names = "--edge-cpus",
      description = "Pin the edge to these processors with taskset, for example 0 or 0-3.")
  private String cpus;

  private TestFleet fleet;
  private EdgeCalls calls;

  @Override
  public void run() {
    try {
      Path directory = Files.createTempDirectory("gorseladder-bench-");
      DayScript script =
          DayScript.parse("edges = 1; runners = 16; lanes = 16; cores = 64; load = 20ms; work = "
              + workMillis + "ms;");
      try (TestFleet testFleet = new TestFleet(
          script,
          directory,
          true,
          line -> {},
          cpus == null ? List.of() : List.of("taskset", "-c", cpus))) {
        fleet = testFleet;
        calls = new EdgeCalls(testFleet);
        measure();
      }
    } catch (IOException | InterruptedException | DayScript.BadScript e) {
      throw new IllegalStateException(e);
    }
  }

  private void measure() throws InterruptedException {
    for (int kind = 0; kind < 3; kind += 2) {
      String name = kind == 0 ? "safe" : "unsafe";
      calls.closedLoopRate(kind, 48, warmup);
      long processorBefore = fleet.edgeProcessorMicros(0);
      double capacity = calls.closedLoopRate(kind, 48, seconds);
      System.out.printf(
          Locale.ROOT,
          "%s: the edge holds %.0f calls/s (48 callers, work %d ms), %.0f us of processor each%n",
          name,
          capacity,
          workMillis,
          (fleet.edgeProcessorMicros(0) - processorBefore) / (capacity * seconds));
      for (double fraction : new double[] {0.1, 0.5, 0.9}) {
        Histogram direct = new Histogram(60_000_000L, 3);
        Histogram edge = new Histogram(60_000_000L, 3);
        for (int round = 0; round < 3; round++) {
          direct.add(openLoop(-1, capacity * fraction, seconds / 3.0));
          edge.add(openLoop(kind, capacity * fraction, seconds / 3.0));
        }
        System.out.printf(
            Locale.ROOT,
            "  %3.0f %%  direct p50 %.2f p99 %.2f ms   edge p50 %.2f p99 %.2f ms   ratio %.2f and"
                + " %.2f   (%d and %d calls)%n",
            fraction * 100,
            millisAt(direct, 50),
            millisAt(direct, 99),
            millisAt(edge, 50),
            millisAt(edge, 99),
            millisAt(edge, 50) / millisAt(direct, 50),
            millisAt(edge, 99) / millisAt(direct, 99),
            direct.getTotalCount(),
            edge.getTotalCount());
      }
    }
  }

  private static double millisAt(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / 1000.0;
  }

  /** Runs an open loop and returns the latencies of served calls in microseconds, from the intended send times. */
  private Histogram openLoop(int kind, double rate, double durationSeconds)
      throws InterruptedException {
    Histogram histogram = new Histogram(60_000_000L, 3);
    ThreadPoolExecutor threads = Threads.pool("open", 4_000, STACK_BYTES);
    Random random = new Random(7);
    double nextAtMicros = Clock.micros() + 50_000;
    double endMicros = nextAtMicros + durationSeconds * 1e6;
    while (nextAtMicros < endMicros) {
      long waitMicros = (long) nextAtMicros - Clock.micros();
      if (waitMicros > 0) {
        Thread.sleep(waitMicros / 1000, (int) (waitMicros % 1000) * 1000);
      }
      long intendedAtMicros = (long) nextAtMicros;
      long seed = random.nextLong();
      threads.execute(() -> {
        if (calls.call(kind, new Random(seed)) == 200) {
          synchronized (histogram) {
            histogram.recordValue(
                Math.max(1, Math.min(60_000_000L, Clock.micros() - intendedAtMicros)));
          }
        }
      });
      nextAtMicros += -Math.log(1 - random.nextDouble()) * 1e6 / rate;
    }
    threads.shutdown();
    threads.awaitTermination(20, TimeUnit.SECONDS);
    return histogram;
  }
}
