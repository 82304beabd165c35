package gorseladder.app.bench;

import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import gorseladder.testbed.TestFleet;
import gorseladder.testbed.script.DayScript;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * {@code bench overload}: goodput (answers within the latency target) by offered load, with adaptive admission, with a
 * fixed bound on calls and with neither.
 */
@Command(
    name = "overload",
    mixinStandardHelpOptions = true,
    description =
        "Goodput of one edge process against offered load, and how it recovers from ten times the load.")
final class OverloadBench implements Runnable {
  private static final int STACK_BYTES = 192 << 10;
  private static final int MAX_CALLERS = 1_800;
  private static final double[] LOAD_MULTIPLES = {0.5, 0.9, 1.2, 2, 4, 7, 10};
  /** The admission settings of the edge, by the name that is printed. */
  private static final Map<String, String> ADMISSION_SETTINGS = new LinkedHashMap<>();

  static {
    ADMISSION_SETTINGS.put("admission", "limits { max_calls: 1000 max_connections: 2000 }\n");
    ADMISSION_SETTINGS.put(
        "fixed bound",
        "adaptive_admission: false limits { max_calls: 1000 max_connections: 2000 }\n");
    ADMISSION_SETTINGS.put(
        "neither", "adaptive_admission: false limits { max_calls: 20000 max_connections: 2000 }\n");
  }

  @Option(
      names = "--seconds",
      defaultValue = "5",
      description = "Seconds for each figure (default ${DEFAULT-VALUE}).")
  private int seconds;

  @Option(
      names = "--runners",
      defaultValue = "4",
      description = "Runners of 4 lanes each (default ${DEFAULT-VALUE}).")
  private int runners;

  @Option(
      names = "--work-ms",
      defaultValue = "20",
      description = "Work of a call (default ${DEFAULT-VALUE}).")
  private int workMillis;

  @Option(
      names = "--edge-cpus",
      description = "Pin the edge to these processors with taskset, for example 0 or 0-3.")
  private String cpus;

  @Option(
      names = "--holds",
      description =
          "Calls a second taken as 1; measured with 16 callers for each runner where not given.")
  private double holds;

  @Option(names = "--plot", description = "Write the plot here, without its suffix.")
  private Path plot;

  @Override
  public void run() {
    try {
      XYChart chart = new XYChartBuilder()
          .width(900)
          .height(560)
          .title("Goodput of one edge under overload")
          .xAxisTitle("offered load, times what it holds")
          .yAxisTitle("answers within the aim, calls/s")
          .build();
      for (Map.Entry<String, String> admission : ADMISSION_SETTINGS.entrySet()) {
        List<Double> goodputs = new ArrayList<>();
        try (TestFleet fleet = fleet(admission.getValue())) {
          EdgeCalls calls = new EdgeCalls(fleet);
          calls.closedLoopRate(0, 16 * runners, 8);
          holds = holds > 0 ? holds : calls.closedLoopRate(0, 16 * runners, seconds);
          for (double multiple : LOAD_MULTIPLES) {
            LoopResult result = openLoop(calls, new double[] {multiple * holds}, seconds);
            goodputs.add(result.onTime(0, seconds) / (double) seconds);
            System.out.printf(
                Locale.ROOT,
                "%-11s x%4.1f: offered %6.0f/s, within the aim %5.0f/s (%.2f), refused %6.0f/s, late %5.0f/s,"
                    + " failed %5.0f/s, unsent or unanswered %5.0f/s%n",
                admission.getKey(),
                multiple,
                multiple * holds,
                goodputs.get(goodputs.size() - 1),
                goodputs.get(goodputs.size() - 1) / holds,
                result.refused.get() / (double) seconds,
                result.servedLate.get() / (double) seconds,
                (result.late.get() - result.servedLate.get()) / (double) seconds,
                result.unanswered.get() / (double) seconds);
          }
          measureRecovery(admission.getKey(), calls);
        }
        double[] x = LOAD_MULTIPLES.clone();
        chart.addSeries(
            admission.getKey(),
            x,
            goodputs.stream().mapToDouble(Double::doubleValue).toArray());
      }
      if (plot != null) {
        BitmapEncoder.saveBitmap(chart, plot.toString(), BitmapEncoder.BitmapFormat.PNG);
      }
    } catch (IOException | InterruptedException | DayScript.BadScript e) {
      throw new IllegalStateException(e);
    }
  }

  private TestFleet fleet(String moreSettings)
      throws IOException, InterruptedException, DayScript.BadScript {
    DayScript script = DayScript.parse("edges = 1; runners = " + runners
        + "; lanes = 16; cores = 64; load = 20ms; work = " + workMillis + "ms;");
    return new TestFleet(
        script,
        Files.createTempDirectory("gorseladder-bench-"),
        true,
        line -> {},
        cpus == null ? List.of() : List.of("taskset", "-c", cpus),
        moreSettings);
  }

  /** Prints the goodput of each second while the edge gets half its capacity, ten times its capacity and half again. */
  private void measureRecovery(String admission, EdgeCalls calls) throws InterruptedException {
    LoopResult result = openLoop(calls, new double[] {holds / 2, holds * 10, holds / 2}, 8);
    StringBuilder line = new StringBuilder();
    for (int second = 0; second < 24; second++) {
      line.append(second % 8 == 0 ? " | " : " ").append(result.onTime(second, second + 1));
    }
    System.out.printf(Locale.ROOT, "%-11s half, ten times, half, by second:%s%n", admission, line);
  }

  /** The results of an open loop; a call counts in the second of its intended send time. */
  private static final class LoopResult {
    private final AtomicIntegerArray onTimeBySecond = new AtomicIntegerArray(600);
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger servedLate = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    int onTime(int from, int to) {
      int sum = 0;
      for (int second = from; second < to; second++) {
        sum += onTimeBySecond.get(second);
      }
      return sum;
    }
  }

  /** Runs an open loop at each rate in turn; latency counts from the intended send time of a call. */
  private static LoopResult openLoop(EdgeCalls calls, double[] rates, int secondsPerRate)
      throws InterruptedException {
    LoopResult result = new LoopResult();
    ThreadPoolExecutor threads = Threads.pool("open", MAX_CALLERS, STACK_BYTES);
    Random random = new Random(7);
    double startMicros = Clock.micros() + 50_000;
    double nextAtMicros = startMicros;
    for (int i = 0; i < rates.length; i++) {
      double endMicros = startMicros + (i + 1) * secondsPerRate * 1e6;
      while (nextAtMicros < endMicros) {
        long waitMicros = (long) nextAtMicros - Clock.micros();
        if (waitMicros > 500) {
          Thread.sleep(waitMicros / 1000, (int) (waitMicros % 1000) * 1000);
        }
        long intendedAtMicros = (long) nextAtMicros;
        int second = (int) ((nextAtMicros - startMicros) / 1e6);
        long seed = random.nextLong();
        try {
          threads.execute(() -> callOnce(calls, result, intendedAtMicros, second, seed));
        } catch (RejectedExecutionException e) {
          result.unanswered.incrementAndGet();
        }
        nextAtMicros += -Math.log(1 - random.nextDouble()) * 1e6 / rates[i];
      }
    }
    threads.shutdown();
    threads.awaitTermination(20, TimeUnit.SECONDS);
    return result;
  }

  private static void callOnce(
      EdgeCalls calls, LoopResult result, long intendedAtMicros, int second, long seed) {
    int status = calls.call(0, new Random(seed));
    long tookMicros = Clock.micros() - intendedAtMicros;
    if (status == 200 && tookMicros <= TestFleet.LATENCY_TARGET_MICROS) {
      result.onTimeBySecond.incrementAndGet(second);
    } else if (status == 503 || status == 429) {
      result.refused.incrementAndGet();
    } else if (status == 0) {
      result.unanswered.incrementAndGet();
    } else {
      result.late.incrementAndGet();
      result.servedLate.addAndGet(status == 200 ? 1 : 0);
    }
  }
}
