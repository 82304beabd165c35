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
 * {@code bench overload}: answers within the aim against calls offered, with admission, with the fixed bound, with
 * neither.
 */
@Command(
    name = "overload",
    mixinStandardHelpOptions = true,
    description =
        "Goodput of one edge process against offered load, and how it recovers from ten times the load.")
final class OverloadBench implements Runnable {
  private static final int STACK = 192 << 10;
  private static final int CALLERS = 1_800;
  private static final double[] MULTIPLES = {0.5, 0.9, 1.2, 2, 4, 7, 10};
  /** How each edge is told to take calls. */
  private static final Map<String, String> WAYS = new LinkedHashMap<>();

  static {
    WAYS.put("admission", "limits { max_calls: 1000 max_connections: 2000 }\n");
    WAYS.put(
        "fixed bound",
        "adaptive_admission: false limits { max_calls: 1000 max_connections: 2000 }\n");
    WAYS.put(
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
      for (Map.Entry<String, String> way : WAYS.entrySet()) {
        List<Double> goods = new ArrayList<>();
        try (TestFleet fleet = fleet(way.getValue())) {
          EdgeCalls calls = new EdgeCalls(fleet);
          calls.closed(0, 16 * runners, 8);
          holds = holds > 0 ? holds : calls.closed(0, 16 * runners, seconds);
          for (double multiple : MULTIPLES) {
            Run run = open(calls, new double[] {multiple * holds}, seconds);
            goods.add(run.good(0, seconds) / (double) seconds);
            System.out.printf(
                Locale.ROOT,
                "%-11s x%4.1f: offered %6.0f/s, within the aim %5.0f/s (%.2f), refused %6.0f/s, late %5.0f/s,"
                    + " failed %5.0f/s, unsent or unanswered %5.0f/s%n",
                way.getKey(),
                multiple,
                multiple * holds,
                goods.get(goods.size() - 1),
                goods.get(goods.size() - 1) / holds,
                run.refused.get() / (double) seconds,
                run.servedLate.get() / (double) seconds,
                (run.late.get() - run.servedLate.get()) / (double) seconds,
                run.unanswered.get() / (double) seconds);
          }
          recovery(way.getKey(), calls);
        }
        double[] x = MULTIPLES.clone();
        chart.addSeries(
            way.getKey(), x, goods.stream().mapToDouble(Double::doubleValue).toArray());
      }
      if (plot != null) {
        BitmapEncoder.saveBitmap(chart, plot.toString(), BitmapEncoder.BitmapFormat.PNG);
      }
    } catch (IOException | InterruptedException | DayScript.BadScript e) {
      throw new IllegalStateException(e);
    }
  }

  private TestFleet fleet(String more)
      throws IOException, InterruptedException, DayScript.BadScript {
    DayScript script = DayScript.parse("edges = 1; runners = " + runners
        + "; lanes = 16; cores = 64; load = 20ms; work = " + workMillis + "ms;");
    return new TestFleet(
        script,
        Files.createTempDirectory("gorseladder-bench-"),
        true,
        line -> {},
        cpus == null ? List.of() : List.of("taskset", "-c", cpus),
        more);
  }

  /** Half the load, ten times as much for as long, half again: answers within the aim by second. */
  private void recovery(String way, EdgeCalls calls) throws InterruptedException {
    Run run = open(calls, new double[] {holds / 2, holds * 10, holds / 2}, 8);
    StringBuilder line = new StringBuilder();
    for (int s = 0; s < 24; s++) {
      line.append(s % 8 == 0 ? " | " : " ").append(run.good(s, s + 1));
    }
    System.out.printf(Locale.ROOT, "%-11s half, ten times, half, by second:%s%n", way, line);
  }

  /** What came of an open loop; a call counts in the second it was meant for. */
  private static final class Run {
    private final AtomicIntegerArray goodBySecond = new AtomicIntegerArray(600);
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger servedLate = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();

    int good(int from, int to) {
      int sum = 0;
      for (int s = from; s < to; s++) {
        sum += goodBySecond.get(s);
      }
      return sum;
    }
  }

  /** Calls at these rates, each for so many seconds; latency counts from the time a call was meant for. */
  private static Run open(EdgeCalls calls, double[] rates, int eachSeconds)
      throws InterruptedException {
    Run run = new Run();
    ThreadPoolExecutor threads = Threads.pool("open", CALLERS, STACK);
    Random random = new Random(7);
    double began = Clock.micros() + 50_000;
    double at = began;
    for (int i = 0; i < rates.length; i++) {
      double end = began + (i + 1) * eachSeconds * 1e6;
      while (at < end) {
        long wait = (long) at - Clock.micros();
        if (wait > 500) {
          Thread.sleep(wait / 1000, (int) (wait % 1000) * 1000);
        }
        long meantFor = (long) at;
        int second = (int) ((at - began) / 1e6);
        long seed = random.nextLong();
        try {
          threads.execute(() -> one(calls, run, meantFor, second, seed));
        } catch (RejectedExecutionException e) {
          run.unanswered.incrementAndGet();
        }
        at += -Math.log(1 - random.nextDouble()) * 1e6 / rates[i];
      }
    }
    threads.shutdown();
    threads.awaitTermination(20, TimeUnit.SECONDS);
    return run;
  }

  private static void one(EdgeCalls calls, Run run, long meantFor, int second, long seed) {
    int status = calls.status(0, new Random(seed));
    long took = Clock.micros() - meantFor;
    if (status == 200 && took <= TestFleet.LATENCY_TARGET_MICROS) {
      run.goodBySecond.incrementAndGet(second);
    } else if (status == 503 || status == 429) {
      run.refused.incrementAndGet();
    } else if (status == 0) {
      run.unanswered.incrementAndGet();
    } else {
      run.late.incrementAndGet();
      run.servedLate.addAndGet(status == 200 ? 1 : 0);
    }
  }
}
