package gorseladder.emulator;

import com.google.protobuf.Message;
import com.google.protobuf.TextFormat;
import gorseladder.emulator.proto.Axis;
import gorseladder.emulator.proto.Choice;
import gorseladder.emulator.proto.Emulation;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.Function;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.CategoryChart;
import org.knowm.xchart.CategoryChartBuilder;
import org.knowm.xchart.style.Styler.LegendPosition;

/**
 * A grid of emulations, each with several seeds, run in parallel; means with intervals, and plots. All figures are
 * simulated.
 */
public final class Experiment {
  /** Two-sided 95 % quantiles of Student's t distribution, for 1 to 10 degrees of freedom. */
  private static final double[] STUDENT_QUANTILES = {
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23
  };

  /** The same of the normal distribution, for more degrees of freedom. */
  private static final double NORMAL_QUANTILE = 1.96;

  /** A figure compared between emulations. */
  public enum Measure {
    SERVICE("service", "part of the worth", Outcomes::service),
    COLD("cold share", "part of the calls", Outcomes::coldShare),
    SURGE_COLD("cold share, first minute", "part of the calls", Outcomes::surgeColdShare),
    MEAN("mean latency", "ms", Outcomes::meanLatencyMillis),
    P99("p99", "ms", outcomes -> outcomes.latencyMillis(99)),
    FETCHES(
        "fetches",
        "fetches a call",
        outcomes -> outcomes.fetches() / (double) Math.max(1, outcomes.calls())),
    AHEAD("orders of plans", "orders", outcomes -> (double) outcomes.planOrders()),
    WASTED(
        "of them wasted",
        "part of the loads ahead",
        outcomes -> outcomes.totalBalance().wasted()
            / (double) Math.max(1, outcomes.totalBalance().loads())),
    SAVED("waiting saved", "s", outcomes -> outcomes.totalBalance().savedSeconds()),
    PUSHED(
        "waiting caused by what was pushed out",
        "s",
        outcomes -> outcomes.totalBalance().evictedLoadSeconds()),
    HELD("held ahead", "GB s", outcomes -> outcomes.totalBalance().gigabyteSeconds()),
    BROKEN("broken rules", "times", outcomes -> (double)
        outcomes.violations().values().stream().mapToLong(Long::longValue).sum());

    private final String title;
    private final String unit;
    private final Function<Outcomes, Double> extractor;

    Measure(String title, String unit, Function<Outcomes, Double> extractor) {
      this.title = title;
      this.unit = unit;
      this.extractor = extractor;
    }

    public String title() {
      return title + ", " + unit;
    }

    public double value(Outcomes outcomes) {
      return extractor.apply(outcomes);
    }
  }

  /** A mean over seeds and half the width of its 95 % confidence interval, which is NaN for one seed. */
  public record Interval(double mean, double halfWidth) {}

  private final gorseladder.emulator.proto.Experiment settings;
  private final Map<String, Emulation> cells = new LinkedHashMap<>();
  private final Map<String, List<Outcomes>> resultsByCell = new LinkedHashMap<>();

  private Experiment(gorseladder.emulator.proto.Experiment settings) {
    this.settings = settings;
    cells.put("", settings.getBase());
    for (Axis axis : settings.getAxisList()) {
      Map<String, Emulation> previous = new LinkedHashMap<>(cells);
      cells.clear();
      previous.forEach((name, e) -> {
        for (Choice c : axis.getChoiceList()) {
          cells.put(
              name.isEmpty() ? c.getName() : name + ", " + c.getName(),
              e.toBuilder().mergeFrom(c.getSet()).build());
        }
      });
    }
  }

  /**
   * Reads an experiment.
   *
   * @throws IllegalArgumentException if the file is malformed; the message names the line
   */
  public static Experiment load(Path file) throws IOException {
    var b = gorseladder.emulator.proto.Experiment.newBuilder();
    parse(file, b);
    if (b.getSeedCount() == 0) {
      b.addSeed(1);
    }
    return new Experiment(b.build());
  }

  /**
   * Reads an emulation.
   *
   * @throws IllegalArgumentException if the file is malformed; the message names the line
   */
  public static Emulation loadEmulation(Path file) throws IOException {
    Emulation.Builder b = Emulation.newBuilder();
    parse(file, b);
    return b.build();
  }

  private static void parse(Path file, Message.Builder b) throws IOException {
    try {
      TextFormat.merge(Files.readString(file), b);
    } catch (TextFormat.ParseException e) {
      throw new IllegalArgumentException(file + ":" + e.getMessage(), e);
    }
  }

  /** Runs all emulations and shows a progress bar on standard error. */
  public void run(int threadCount) throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(threadCount);
    Map<String, List<Future<Outcomes>>> running = new LinkedHashMap<>();
    int stepsPerRun = 100;
    try (ProgressBar bar = new ProgressBarBuilder()
        .setTaskName("emulating")
        .setUpdateIntervalMillis(500)
        .setInitialMax((long) cells.size() * settings.getSeedCount() * stepsPerRun)
        .build()) {
      cells.forEach((name, e) -> running.put(
          name,
          settings.getSeedList().stream()
              .map(seed -> threads.submit(() -> {
                int[] reported = {0};
                return EmulatedFleet.run(e.toBuilder().setSeed(seed).build(), done -> {
                  bar.stepBy((int) (done * stepsPerRun) - reported[0]);
                  reported[0] = (int) (done * stepsPerRun);
                });
              }))
              .toList()));
      for (Map.Entry<String, List<Future<Outcomes>>> e : running.entrySet()) {
        List<Outcomes> all = new ArrayList<>();
        for (Future<Outcomes> f : e.getValue()) {
          all.add(f.get());
        }
        resultsByCell.put(e.getKey(), all);
      }
    } catch (ExecutionException e) {
      throw new IllegalArgumentException(e.getCause().getMessage(), e.getCause());
    } finally {
      threads.shutdownNow();
    }
  }

  /** Results by the names of a cell's choices, one for each seed. */
  public Map<String, List<Outcomes>> results() {
    return resultsByCell;
  }

  /** Mean and confidence interval of a measure for a cell. */
  public Interval interval(String cell, Measure measure) {
    double[] values =
        resultsByCell.get(cell).stream().mapToDouble(measure::value).toArray();
    double mean = Arrays.stream(values).average().orElse(Double.NaN);
    double squareSum = Arrays.stream(values).map(v -> (v - mean) * (v - mean)).sum();
    int degreesOfFreedom = values.length - 1;
    double t = degreesOfFreedom < 1
        ? Double.NaN
        : degreesOfFreedom <= STUDENT_QUANTILES.length
            ? STUDENT_QUANTILES[degreesOfFreedom - 1]
            : NORMAL_QUANTILE;
    return new Interval(
        mean, t * Math.sqrt(squareSum / Math.max(1, degreesOfFreedom) / values.length));
  }

  /** Writes a bar chart of a measure with its intervals. */
  public void plot(Measure measure, Path png) throws IOException {
    CategoryChart chart = new CategoryChartBuilder()
        .width(1000)
        .height(520)
        .title(measure.title() + " (simulated)")
        .yAxisTitle(measure.title())
        .build();
    chart.getStyler().setLegendPosition(LegendPosition.InsideNE).setLegendVisible(false);
    chart.getStyler().setXAxisLabelRotation(20);
    List<String> names = List.copyOf(resultsByCell.keySet());
    List<Double> means = names.stream().map(n -> interval(n, measure).mean()).toList();
    List<Double> halfWidths = names.stream()
        .map(n -> interval(n, measure).halfWidth())
        .map(width -> width.isNaN() ? 0 : width)
        .toList();
    chart.addSeries(measure.title(), names, means, halfWidths);
    BitmapEncoder.saveBitmap(chart, png.toString(), BitmapFormat.PNG);
  }
}
