package gorseladder.app.bench;

import gorseladder.forecast.Forecasts;
import gorseladder.forecast.SlotCalendar;
import gorseladder.order.SharedOrder;
import gorseladder.placement.Demand;
import gorseladder.placement.Placement;
import gorseladder.placement.Placement.Limits;
import gorseladder.placement.Placement.PlacedCopy;
import gorseladder.placement.Prices;
import gorseladder.placement.WorkerCapacity;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.ojalgo.optimisation.Expression;
import org.ojalgo.optimisation.ExpressionsBasedModel;
import org.ojalgo.optimisation.Optimisation;
import org.ojalgo.optimisation.Variable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code bench placement}: the placement against an exact solver on small fleets, and its time on large ones. */
@Command(
    name = "placement",
    mixinStandardHelpOptions = true,
    description =
        "Placement against an exact solver (ojAlgo) on small drawn fleets; time of forecasts and plans on large ones.")
final class PlacementBench implements Runnable {
  private static final Prices PRICES = new Prices(0.1, 0.004, 0);
  private static final double STRETCH = 900;
  private static final double KEEP = 10;
  private static final int MOST_COPIES = 3;
  private static final long SOLVER_MILLIS = 20_000;

  @Option(
      names = "--fleets",
      defaultValue = "30",
      description = "Small fleets drawn (default ${DEFAULT-VALUE}).")
  private int fleets;

  @Option(names = "--plot", paramLabel = "FILE", description = "Write a plot of the times, as PNG.")
  private Path plot;

  @Override
  public void run() {
    gap();
    try {
      times();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<WorkerCapacity> hosts(int count, double freeMb, int loads) {
    List<WorkerCapacity> hosts = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      hosts.add(new WorkerCapacity("runner-" + i, freeMb, loads, 1));
    }
    return hosts;
  }

  /** Functions by a Zipf law; one of so many wakes up in this stretch, the others go on as before. */
  private static List<Demand> demands(int count, int oneOf, Random random) {
    List<Demand> all = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      double calls = Math.max(4, 400.0 / Math.pow(i + 1, 0.8)) * (0.5 + random.nextDouble());
      double before = random.nextInt(oneOf) == 0 ? 0 : calls;
      all.add(new Demand(
          "svc/f" + i,
          calls,
          1 + random.nextDouble(),
          before,
          0.5 + random.nextDouble() / 2,
          300 + random.nextInt(500),
          1 + random.nextInt(3),
          0.1 + 0.2 * random.nextDouble(),
          0.4 + 0.6 * random.nextDouble()));
    }
    return all;
  }

  private void gap() {
    Random random = new Random(1);
    double worst = 0;
    double sum = 0;
    int solved = 0;
    int bound = 0;
    double own = 0;
    double exact = 0;
    for (int i = 0; i < fleets; i++) {
      List<WorkerCapacity> hosts =
          hosts(3 + random.nextInt(4), 900 + random.nextInt(1_500), 2 + random.nextInt(3));
      List<Demand> demands = demands(8 + random.nextInt(17), 10, random);
      Limits limits = new Limits(4 + random.nextInt(12), Double.MAX_VALUE);
      long began = System.nanoTime();
      List<PlacedCopy> placed = Placement.choose(demands, hosts, limits, PRICES, STRETCH, KEEP);
      own += (System.nanoTime() - began) / 1e6;
      double got = placed.stream().mapToDouble(PlacedCopy::netBenefit).sum();
      began = System.nanoTime();
      double best = solve(demands, hosts, limits);
      exact += (System.nanoTime() - began) / 1e6;
      if (best > 0) {
        double missing = 1 - got / best;
        solved++;
        sum += missing;
        worst = Math.max(worst, missing);
        bound += placed.size() == limits.orders() || missing > 1e-9 ? 1 : 0;
      }
    }
    System.out.printf(
        Locale.ROOT,
        "%d small fleets solved exactly: the placement brings %.2f %% less in the mean, %.1f %% at worst;"
            + " a limit bound in %d; %.1f ms against %.0f ms each%n",
        solved,
        100 * sum / Math.max(1, solved),
        100 * worst,
        bound,
        own / fleets,
        exact / fleets);
  }

  /**
   * The best sum by an integer programme: a variable for each copy at each place it may stand; 0 where it was not
   * solved in time.
   */
  private static double solve(List<Demand> demands, List<WorkerCapacity> hosts, Limits limits) {
    ExpressionsBasedModel model = new ExpressionsBasedModel();
    model.options.time_abort = SOLVER_MILLIS;
    Expression orders = model.newExpression("orders").upper(limits.orders());
    Map<String, Expression> memory = new HashMap<>();
    Map<String, Expression> loads = new HashMap<>();
    for (WorkerCapacity h : hosts) {
      memory.put(h.name(), model.newExpression("memory " + h.name()).upper(h.freeMb()));
      loads.put(h.name(), model.newExpression("loads " + h.name()).upper(h.maxLoads()));
    }
    for (Demand d : demands) {
      List<WorkerCapacity> order = hosts.stream()
          .sorted(Comparator.comparingDouble(h -> SharedOrder.key(d.function(), h.name(), 1)))
          .toList();
      Map<String, Expression> once = new HashMap<>();
      List<Variable> before = List.of();
      for (int number = 1; number <= MOST_COPIES; number++) {
        Expression one = model.newExpression(d.function() + " copy " + number).upper(1);
        Expression follows =
            model.newExpression(d.function() + " follows " + number).upper(number == 1 ? 1 : 0);
        List<Variable> mine = new ArrayList<>();
        for (int place = 0;
            place < Math.min(order.size(), Placement.candidatePositions(number));
            place++) {
          String host = order.get(place).name();
          Variable v = model
              .newVariable(d.function() + " " + number + " at " + place)
              .binary()
              .weight(Placement.netBenefit(d, number, place, PRICES, STRETCH, KEEP));
          one.set(v, 1);
          orders.set(v, 1);
          memory.get(host).set(v, d.memoryMb());
          loads.get(host).set(v, 1);
          once.computeIfAbsent(
                  host, h -> model.newExpression(d.function() + " once at " + h).upper(1))
              .set(v, 1);
          mine.add(v);
          follows.set(v, 1);
        }
        before.forEach(v -> follows.set(v, -1));
        before = mine;
      }
    }
    Optimisation.Result result = model.maximise();
    return result.getState().isOptimal() ? result.getValue() : 0;
  }

  private void times() throws IOException {
    List<Double> functionsAxis = new ArrayList<>();
    Map<Integer, List<Double>> planMillis = new HashMap<>();
    List<Double> forecastMillis = new ArrayList<>();
    for (int functions : new int[] {500, 1_000, 2_000, 4_000}) {
      functionsAxis.add((double) functions);
      Forecasts forecasts = new Forecasts(new SlotCalendar(96, 0, Map.of()), 4 * functions);
      Map<String, Integer> counts = new HashMap<>();
      for (int i = 0; i < functions; i++) {
        counts.put("svc/f" + i, 5);
      }
      for (int slot = 0; slot < 20; slot++) {
        forecasts.observe(slot, counts);
      }
      long began = System.nanoTime();
      forecasts.observe(20, counts);
      counts.keySet().forEach(f -> forecasts.forecast(f, 21));
      double forecast = (System.nanoTime() - began) / 1e6;
      forecastMillis.add(forecast);
      for (int runners : new int[] {12, 80, 240}) {
        List<WorkerCapacity> hosts = hosts(runners, 4_096, 24);
        List<Demand> demands = demands(functions, 1, new Random(2));
        double least = Double.MAX_VALUE;
        int placed = 0;
        // Many functions wake at once, as at a known date, and orders or memory bind: the shape
        // that costs most.
        for (int round = 0; round < 5; round++) {
          began = System.nanoTime();
          placed = Placement.choose(
                  demands,
                  hosts,
                  new Limits(functions / 2, Double.MAX_VALUE),
                  PRICES,
                  STRETCH,
                  KEEP)
              .size();
          least = Math.min(least, (System.nanoTime() - began) / 1e6);
        }
        planMillis.computeIfAbsent(runners, r -> new ArrayList<>()).add(least);
        System.out.printf(
            Locale.ROOT,
            "%5d functions, %3d runners: forecasts %.1f ms, placement of %d copies (%d orders allowed) %.1f ms%n",
            functions,
            runners,
            forecast,
            placed,
            functions / 2,
            least);
      }
    }
    if (plot != null) {
      XYChart chart = new XYChartBuilder()
          .width(900)
          .height(500)
          .title("Time of a plan")
          .xAxisTitle("functions")
          .yAxisTitle("ms")
          .build();
      planMillis.forEach((runners, millis) ->
          chart.addSeries("placement, " + runners + " runners", functionsAxis, millis));
      chart.addSeries("forecasts", functionsAxis, forecastMillis);
      BitmapEncoder.saveBitmap(chart, plot.toString(), BitmapFormat.PNG);
    }
  }
}
