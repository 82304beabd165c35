package gorseladder.app.bench;

import gorseladder.forecast.Forecasts;
import gorseladder.forecast.SlotCalendar;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** {@code bench forecast}: walk-forward evaluation of the forecasts over random days; all figures are simulated. */
@Command(
    name = "forecast",
    mixinStandardHelpOptions = true,
    description =
        "Walk forward over drawn days: what the chosen way and each way alone miss by, every function listed; then "
            + "time and memory against the number of functions. Simulated.")
final class ForecastBench implements Runnable {
  private static final int SLOTS_PER_DAY = 96;
  private static final int TERMS_END_DAY = 28;

  @Option(
      names = "--days",
      defaultValue = "42",
      description = "Days drawn (default ${DEFAULT-VALUE}); the first 7 teach only.")
  private int days;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "Seed of the draw (default ${DEFAULT-VALUE}).")
  private long seed;

  @Override
  public void run() {
    SlotCalendar calendar =
        new SlotCalendar(SLOTS_PER_DAY, 0, Map.of(14, "term's end", TERMS_END_DAY, "term's end"));
    Map<String, LongToDoubleFunction> rates = rates();
    System.out.printf(
        Locale.ROOT,
        "%-22s %8s  %7s  %9s %9s %9s %9s  %6s  %s%n",
        "function",
        "calls",
        "chosen",
        "sparse",
        "last-slot",
        "last-week",
        "seasonal",
        "over",
        "spoke most");
    walkForward(calendar, rates);
    for (int functions : new int[] {100, 1_000, 4_000}) {
      measureSize(functions);
    }
    measureSketch();
  }

  private static double officeHoursShare(long slot) {
    double hour = 24.0 * (slot % SLOTS_PER_DAY) / SLOTS_PER_DAY;
    double dayShare = hour > 7 && hour < 18 ? Math.sin(Math.PI * (hour - 7) / 11) : 0.03;
    return dayShare * (slot / SLOTS_PER_DAY % 7 >= 5 ? 0.3 : 1);
  }

  private static Map<String, LongToDoubleFunction> rates() {
    Map<String, LongToDoubleFunction> rates = new LinkedHashMap<>();
    rates.put("office-hours", slot -> 60 * officeHoursShare(slot));
    rates.put("office-hours-quiet", slot -> 3 * officeHoursShare(slot));
    rates.put("steady", slot -> 12);
    rates.put("timer", slot -> slot % 4 == 0 ? 5 : 0);
    rates.put("sparse", slot -> 0.03);
    rates.put("drifting", slot -> 25 + 20 * Math.sin(slot / 61.0 + 3 * Math.sin(slot / 307.0)));
    rates.put(
        "terms-end",
        slot -> 30
            * officeHoursShare(slot)
            * (slot / SLOTS_PER_DAY % 14 == 0
                    && slot / SLOTS_PER_DAY > 0
                    && slot / SLOTS_PER_DAY <= TERMS_END_DAY
                ? 5
                : 1));
    rates.put(
        "terms-end-day-early",
        slot -> 30
            * officeHoursShare(slot)
            * (slot / SLOTS_PER_DAY == 14 || slot / SLOTS_PER_DAY == TERMS_END_DAY - 1 ? 5 : 1));
    rates.put(
        "surge-that-stays-away",
        slot -> 30 * officeHoursShare(slot) * (slot / SLOTS_PER_DAY == 14 ? 5 : 1));
    rates.put(
        "ten-times-from-day-20",
        slot -> 6 * officeHoursShare(slot) * (slot / SLOTS_PER_DAY >= 20 ? 10 : 1));
    rates.put(
        "a-tenth-from-day-20",
        slot -> 60 * officeHoursShare(slot) * (slot / SLOTS_PER_DAY >= 20 ? 0.1 : 1));
    rates.put("renamed-old", slot -> slot / SLOTS_PER_DAY < 24 ? 40 * officeHoursShare(slot) : 0);
    rates.put("renamed-new", slot -> slot / SLOTS_PER_DAY >= 24 ? 40 * officeHoursShare(slot) : 0);
    return rates;
  }

  private static int poisson(double mean, Random random) {
    int count = 0;
    for (double sum = -Math.log(1 - random.nextDouble());
        sum < mean;
        sum -= Math.log(1 - random.nextDouble())) {
      count++;
    }
    return count;
  }

  private void walkForward(SlotCalendar calendar, Map<String, LongToDoubleFunction> rates) {
    Random random = new Random(seed);
    Forecasts forecasts = new Forecasts(calendar, 4_096);
    Map<String, double[]> sums = new LinkedHashMap<>();
    Map<String, Map<String, Integer>> timesUsed = new HashMap<>();
    Map<String, Map<String, Double>> errors = new HashMap<>();
    Map<String, Map<String, Double>> previousErrors = new HashMap<>();
    double decayPerSlot = Math.pow(0.5, 1.0 / (2 * SLOTS_PER_DAY));
    for (long slot = 0; slot < (long) days * SLOTS_PER_DAY; slot++) {
      Map<String, Integer> calls = new LinkedHashMap<>();
      for (Map.Entry<String, LongToDoubleFunction> e : rates.entrySet()) {
        calls.put(e.getKey(), poisson(e.getValue().applyAsDouble(slot), random));
      }
      for (String function : rates.keySet()) {
        Forecasts.Forecast forecast = forecasts.forecast(function, slot);
        if (slot >= 7L * SLOTS_PER_DAY) {
          double[] sum = sums.computeIfAbsent(function, f -> new double[4]);
          sum[0] += calls.get(function);
          sum[1] += Math.abs(forecast.mean() - calls.get(function));
          sum[2] += calls.get(function) > forecast.upper() ? 1 : 0;
          sum[3]++;
          timesUsed
              .computeIfAbsent(function, f -> new HashMap<>())
              .merge(forecast.forecasterName(), 1, Integer::sum);
        }
        previousErrors.put(function, forecasts.recentErrors(function));
      }
      forecasts.observe(slot, calls);
      if (slot >= 7L * SLOTS_PER_DAY) {
        // A forecaster's error in this slot is the growth of its exponentially decaying sum.
        rates
            .keySet()
            .forEach(function -> forecasts
                .recentErrors(function)
                .forEach((forecaster, error) -> errors
                    .computeIfAbsent(function, f -> new HashMap<>())
                    .merge(
                        forecaster,
                        error
                            - decayPerSlot
                                * previousErrors.get(function).getOrDefault(forecaster, 0.0),
                        Double::sum)));
      }
    }
    sums.forEach((function, sum) ->
        print(function, sum, errors.getOrDefault(function, Map.of()), timesUsed.get(function)));
  }

  private static void print(
      String function, double[] sum, Map<String, Double> errors, Map<String, Integer> timesUsed) {
    StringBuilder errorColumns = new StringBuilder();
    for (String forecaster : List.of("sparse", "last-slot", "last-week", "seasonal")) {
      errorColumns.append(String.format(
          Locale.ROOT, " %9.2f", errors.getOrDefault(forecaster, 0.0) / Math.max(1, sum[0])));
    }
    String mostUsed = timesUsed.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .orElseThrow()
        .getKey();
    System.out.printf(
        Locale.ROOT,
        "%-22s %8.0f  %7.2f %s  %5.1f%%  %s%n",
        function,
        sum[0],
        sum[1] / Math.max(1, sum[0]),
        errorColumns,
        100 * sum[2] / sum[3],
        mostUsed);
  }

  /** Measures time per slot and memory per function. */
  private static void measureSize(int functions) {
    Forecasts forecasts =
        new Forecasts(new SlotCalendar(SLOTS_PER_DAY, 0, Map.of()), 4 * functions);
    Random random = new Random(3);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < functions; i++) {
      names.add("svc/f" + i);
    }
    System.gc();
    long bytesBefore = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    int rounds = 2 * SLOTS_PER_DAY;
    long tookNanos = 0;
    for (long slot = 0; slot < rounds; slot++) {
      Map<String, Integer> calls = new HashMap<>();
      names.forEach(name -> calls.put(name, 3 + random.nextInt(5)));
      long startNanos = System.nanoTime();
      forecasts.observe(slot, calls);
      for (String name : names) {
        forecasts.forecast(name, slot + 1);
      }
      tookNanos += System.nanoTime() - startNanos;
    }
    System.gc();
    long bytesAfter = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    System.out.printf(
        Locale.ROOT,
        "%5d functions: %.2f ms a slot to observe and expect all, %.1f KiB each%n",
        functions,
        tookNanos / 1e6 / rounds,
        (bytesAfter - bytesBefore) / 1024.0 / functions);
    if (forecasts.functions().size() != functions) {
      throw new IllegalStateException("functions were lost");
    }
  }

  /** Counts the table entries that names called once take, with the sketch and with an entry per name. */
  private static void measureSketch() {
    Forecasts forecasts = new Forecasts(new SlotCalendar(SLOTS_PER_DAY, 0, Map.of()), 65_536);
    Map<String, Integer> plainCounts = new HashMap<>();
    for (long slot = 0; slot < SLOTS_PER_DAY; slot++) {
      Map<String, Integer> calls = new HashMap<>();
      for (int i = 0; i < 1_000; i++) {
        calls.put("once/" + slot + "-" + i, 1);
      }
      calls.forEach((name, count) -> plainCounts.merge(name, count, Integer::sum));
      forecasts.observe(slot, calls);
    }
    System.out.printf(
        Locale.ROOT,
        "%d names wanted once: %d table entries with the sketch (1 MiB of counters), %d without%n",
        plainCounts.size(),
        forecasts.functions().size(),
        plainCounts.size());
  }
}
