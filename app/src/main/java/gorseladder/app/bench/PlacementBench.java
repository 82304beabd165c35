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

/** {@code bench placement}: compares the placement with an exact solver on small fleets and times it on large ones. */
@Command(
    name = "placement",
    mixinStandardHelpOptions = true,
    description =
        "Placement against an exact solver (ojAlgo) on small drawn fleets; time of forecasts and plans on large ones.")
final class PlacementBench implements Runnable {
  private static final Prices PRICES = new Prices(0.1, 0.004, 0);
  private static final double PERIOD_SECONDS = 900;
  private static final double KEEP_ALIVE_SECONDS = 10;
  private static final int MAX_COPIES = 3;
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
    compareWithSolver();
    try {
      measureTimes();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static List<WorkerCapacity> workers(int count, double freeMb, int maxLoads) {
    List<WorkerCapacity> workers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      workers.add(new WorkerCapacity("runner-" + i, freeMb, maxLoads, 1));
    }
    return workers;
  }

  /**
   * Random demands with a Zipf-like popularity.
   *
   * @param oneInWakes one in this many functions had no calls in the previous period; the others keep their rate
   */
  private static List<Demand> demands(int count, int oneInWakes, Random random) {
    List<Demand> demands = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      double calls = Math.max(4, 400.0 / Math.pow(i + 1, 0.8)) * (0.5 + random.nextDouble());
      double previousCalls = random.nextInt(oneInWakes) == 0 ? 0 : calls;
      demands.add(new Demand(
          "svc/f" + i,
          calls,
          1 + random.nextDouble(),
          previousCalls,
          0.5 + random.nextDouble() / 2,
          300 + random.nextInt(500),
          1 + random.nextInt(3),
          0.1 + 0.2 * random.nextDouble(),
          0.4 + 0.6 * random.nextDouble()));
    }
    return demands;
  }

  private void compareWithSolver() {
    Random random = new Random(1);
    double maxMissing = 0;
    double missingSum = 0;
    int solved = 0;
    int limited = 0;
    double placementMillis = 0;
    double solverMillis = 0;
    for (int i = 0; i < fleets; i++) {
      List<WorkerCapacity> workers =
          workers(3 + random.nextInt(4), 900 + random.nextInt(1_500), 2 + random.nextInt(3));
      List<Demand> demands = demands(8 + random.nextInt(17), 10, random);
      Limits limits = new Limits(4 + random.nextInt(12), Double.MAX_VALUE);
      long startNanos = System.nanoTime();
      List<PlacedCopy> placed =
          Placement.choose(demands, workers, limits, PRICES, PERIOD_SECONDS, KEEP_ALIVE_SECONDS);
      placementMillis += (System.nanoTime() - startNanos) / 1e6;
      double netBenefit = placed.stream().mapToDouble(PlacedCopy::netBenefit).sum();
      startNanos = System.nanoTime();
      double best = solveExactly(demands, workers, limits);
      solverMillis += (System.nanoTime() - startNanos) / 1e6;
      if (best > 0) {
        double missing = 1 - netBenefit / best;
        solved++;
        missingSum += missing;
        maxMissing = Math.max(maxMissing, missing);
        limited += placed.size() == limits.orders() || missing > 1e-9 ? 1 : 0;
      }
    }
    System.out.printf(
        Locale.ROOT,
        "%d small fleets solved exactly: the placement brings %.2f %% less in the mean, %.1f %% at worst;"
            + " a limit bound in %d; %.1f ms against %.0f ms each%n",
        solved,
        100 * missingSum / Math.max(1, solved),
        100 * maxMissing,
        limited,
        placementMillis / fleets,
        solverMillis / fleets);
  }

  /**
   * Solves the placement exactly as an integer program with a variable for each copy at each candidate position.
   *
   * @return the greatest net benefit; 0 when the solver did not finish in time
   */
  private static double solveExactly(
      List<Demand> demands, List<WorkerCapacity> workers, Limits limits) {
    ExpressionsBasedModel model = new ExpressionsBasedModel();
    model.options.time_abort = SOLVER_MILLIS;
    Expression orders = model.newExpression("orders").upper(limits.orders());
    Map<String, Expression> memory = new HashMap<>();
    Map<String, Expression> loadLimits = new HashMap<>();
    for (WorkerCapacity worker : workers) {
      memory.put(
          worker.name(), model.newExpression("memory " + worker.name()).upper(worker.freeMb()));
      loadLimits.put(
          worker.name(), model.newExpression("loads " + worker.name()).upper(worker.maxLoads()));
    }
    for (Demand demand : demands) {
      List<WorkerCapacity> order = workers.stream()
          .sorted(Comparator.comparingDouble(
              worker -> SharedOrder.key(demand.function(), worker.name(), 1)))
          .toList();
      Map<String, Expression> oncePerWorker = new HashMap<>();
      List<Variable> previousPositions = List.of();
      for (int copy = 1; copy <= MAX_COPIES; copy++) {
        Expression oneCopy =
            model.newExpression(demand.function() + " copy " + copy).upper(1);
        Expression follows =
            model.newExpression(demand.function() + " follows " + copy).upper(copy == 1 ? 1 : 0);
        List<Variable> positions = new ArrayList<>();
        for (int position = 0;
            position < Math.min(order.size(), Placement.candidatePositions(copy));
            position++) {
          String worker = order.get(position).name();
          Variable variable = model
              .newVariable(demand.function() + " " + copy + " at " + position)
              .binary()
              .weight(Placement.netBenefit(
                  demand, copy, position, PRICES, PERIOD_SECONDS, KEEP_ALIVE_SECONDS));
          oneCopy.set(variable, 1);
          orders.set(variable, 1);
          memory.get(worker).set(variable, demand.memoryMb());
          loadLimits.get(worker).set(variable, 1);
          oncePerWorker
              .computeIfAbsent(
                  worker,
                  h -> model.newExpression(demand.function() + " once at " + h).upper(1))
              .set(variable, 1);
          positions.add(variable);
          follows.set(variable, 1);
        }
        previousPositions.forEach(variable -> follows.set(variable, -1));
        previousPositions = positions;
      }
    }
    Optimisation.Result result = model.maximise();
    return result.getState().isOptimal() ? result.getValue() : 0;
  }

  private void measureTimes() throws IOException {
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
      long startNanos = System.nanoTime();
      forecasts.observe(20, counts);
      counts.keySet().forEach(f -> forecasts.forecast(f, 21));
      double forecastTime = (System.nanoTime() - startNanos) / 1e6;
      forecastMillis.add(forecastTime);
      for (int runners : new int[] {12, 80, 240}) {
        List<WorkerCapacity> workers = workers(runners, 4_096, 24);
        List<Demand> demands = demands(functions, 1, new Random(2));
        double minMillis = Double.MAX_VALUE;
        int placed = 0;
        // The most expensive case: many functions become active at once, as at a known date, and
        // the limit on orders or memory binds.
        for (int round = 0; round < 5; round++) {
          startNanos = System.nanoTime();
          placed = Placement.choose(
                  demands,
                  workers,
                  new Limits(functions / 2, Double.MAX_VALUE),
                  PRICES,
                  PERIOD_SECONDS,
                  KEEP_ALIVE_SECONDS)
              .size();
          minMillis = Math.min(minMillis, (System.nanoTime() - startNanos) / 1e6);
        }
        planMillis.computeIfAbsent(runners, r -> new ArrayList<>()).add(minMillis);
        System.out.printf(
            Locale.ROOT,
            "%5d functions, %3d runners: forecasts %.1f ms, placement of %d copies (%d orders allowed) %.1f ms%n",
            functions,
            runners,
            forecastTime,
            placed,
            functions / 2,
            minMillis);
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
