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

/** A grid of emulations over seeds, run side by side; tables with intervals, and plots. All figures are simulated. */
public final class Experiment {
  /** Two-sided 95 % points of Student's distribution for 1 to 10 degrees of freedom; beyond, the normal's. */
  private static final double[] STUDENT = {
    12.71, 4.30, 3.18, 2.78, 2.57, 2.45, 2.36, 2.31, 2.26, 2.23
  };

  private static final double NORMAL = 1.96;

  /** What is compared. */
  public enum Measure {
    SERVICE("service", "part of the worth", Outcomes::service),
    COLD("cold share", "part of the calls", Outcomes::coldShare),
    SURGE_COLD("cold share, first minute", "part of the calls", Outcomes::surgeColdShare),
    MEAN("mean latency", "ms", Outcomes::meanMillis),
    P99("p99", "ms", o -> o.latencyMillis(99)),
    FETCHES("fetches", "fetches a call", o -> o.fetches() / (double) Math.max(1, o.calls())),
    AHEAD("orders of plans", "orders", o -> (double) o.aheadOrders()),
    WASTED(
        "of them wasted",
        "part of the loads ahead",
        o -> o.balance().wasted() / (double) Math.max(1, o.balance().loads())),
    SAVED("waiting saved", "s", o -> o.balance().saved()),
    PUSHED("waiting caused by what was pushed out", "s", o -> o.balance().pushed()),
    HELD("held ahead", "GB s", o -> o.balance().gigabyteSeconds()),
    BROKEN("broken rules", "times", o ->
        (double) o.broken().values().stream().mapToLong(Long::longValue).sum());

    private final String title;
    private final String unit;
    private final Function<Outcomes, Double> of;

    Measure(String title, String unit, Function<Outcomes, Double> of) {
      this.title = title;
      this.unit = unit;
      this.of = of;
    }

    public String title() {
      return title + ", " + unit;
    }

    public double of(Outcomes o) {
      return of.apply(o);
    }
  }

  /** A mean over seeds and half the width of its 95 % interval; NaN from one seed. */
  public record Interval(double mean, double half) {}

  private final gorseladder.emulator.proto.Experiment settings;
  private final Map<String, Emulation> cells = new LinkedHashMap<>();
  private final Map<String, List<Outcomes>> results = new LinkedHashMap<>();

  private Experiment(gorseladder.emulator.proto.Experiment settings) {
    this.settings = settings;
    cells.put("", settings.getBase());
    for (Axis axis : settings.getAxisList()) {
      Map<String, Emulation> before = new LinkedHashMap<>(cells);
      cells.clear();
      before.forEach((name, e) -> {
        for (Choice c : axis.getChoiceList()) {
          cells.put(
              name.isEmpty() ? c.getName() : name + ", " + c.getName(),
              e.toBuilder().mergeFrom(c.getSet()).build());
        }
      });
    }
  }

  /** Reads an experiment; the text of the error names the line. */
  public static Experiment load(Path file) throws IOException {
    var b = gorseladder.emulator.proto.Experiment.newBuilder();
    parse(file, b);
    if (b.getSeedCount() == 0) {
      b.addSeed(1);
    }
    return new Experiment(b.build());
  }

  /** Reads one emulation. */
  public static Emulation emulation(Path file) throws IOException {
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

  /** Runs all, so many at once, with a bar of progress on the standard error. */
  public void run(int atOnce) throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(atOnce);
    Map<String, List<Future<Outcomes>>> running = new LinkedHashMap<>();
    int parts = 100;
    try (ProgressBar bar = new ProgressBarBuilder()
        .setTaskName("emulating")
        .setUpdateIntervalMillis(500)
        .setInitialMax((long) cells.size() * settings.getSeedCount() * parts)
        .build()) {
      cells.forEach((name, e) -> running.put(
          name,
          settings.getSeedList().stream()
              .map(seed -> threads.submit(() -> {
                int[] told = {0};
                return EmulatedFleet.run(e.toBuilder().setSeed(seed).build(), done -> {
                  bar.stepBy((int) (done * parts) - told[0]);
                  told[0] = (int) (done * parts);
                });
              }))
              .toList()));
      for (Map.Entry<String, List<Future<Outcomes>>> e : running.entrySet()) {
        List<Outcomes> all = new ArrayList<>();
        for (Future<Outcomes> f : e.getValue()) {
          all.add(f.get());
        }
        results.put(e.getKey(), all);
      }
    } catch (ExecutionException e) {
      throw new IllegalArgumentException(e.getCause().getMessage(), e.getCause());
    } finally {
      threads.shutdownNow();
    }
  }

  /** Results by the names of the choices, one for each seed. */
  public Map<String, List<Outcomes>> results() {
    return results;
  }

  /** Mean and interval of a measure for a cell. */
  public Interval interval(String cell, Measure m) {
    double[] values = results.get(cell).stream().mapToDouble(m::of).toArray();
    double mean = Arrays.stream(values).average().orElse(Double.NaN);
    double squares = Arrays.stream(values).map(v -> (v - mean) * (v - mean)).sum();
    int free = values.length - 1;
    double t = free < 1 ? Double.NaN : free <= STUDENT.length ? STUDENT[free - 1] : NORMAL;
    return new Interval(mean, t * Math.sqrt(squares / Math.max(1, free) / values.length));
  }

  /** Draws one measure as bars with intervals. */
  public void plot(Measure m, Path png) throws IOException {
    CategoryChart chart = new CategoryChartBuilder()
        .width(1000)
        .height(520)
        .title(m.title() + " (simulated)")
        .yAxisTitle(m.title())
        .build();
    chart.getStyler().setLegendPosition(LegendPosition.InsideNE).setLegendVisible(false);
    chart.getStyler().setXAxisLabelRotation(20);
    List<String> names = List.copyOf(results.keySet());
    List<Double> means = names.stream().map(n -> interval(n, m).mean()).toList();
    List<Double> halves = names.stream()
        .map(n -> interval(n, m).half())
        .map(h -> h.isNaN() ? 0 : h)
        .toList();
    chart.addSeries(m.title(), names, means, halves);
    BitmapEncoder.saveBitmap(chart, png.toString(), BitmapFormat.PNG);
  }
}
