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

/** {@code bench forecast}: forecasts walked forward over drawn days; all figures are simulated. */
@Command(
    name = "forecast",
    mixinStandardHelpOptions = true,
    description =
        "Walk forward over drawn days: what the chosen way and each way alone miss by, every function listed; then "
            + "time and memory against the number of functions. Simulated.")
final class ForecastBench implements Runnable {
  private static final int PER_DAY = 96;
  private static final int TERMS_END = 28;

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
    SlotCalendar told =
        new SlotCalendar(PER_DAY, 0, Map.of(14, "term's end", TERMS_END, "term's end"));
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
    walk(told, rates);
    for (int functions : new int[] {100, 1_000, 4_000}) {
      size(functions);
    }
    sketch();
  }

  private static double wave(long slot) {
    double hour = 24.0 * (slot % PER_DAY) / PER_DAY;
    double day = hour > 7 && hour < 18 ? Math.sin(Math.PI * (hour - 7) / 11) : 0.03;
    return day * (slot / PER_DAY % 7 >= 5 ? 0.3 : 1);
  }

  private static Map<String, LongToDoubleFunction> rates() {
    Map<String, LongToDoubleFunction> r = new LinkedHashMap<>();
    r.put("office-hours", slot -> 60 * wave(slot));
    r.put("office-hours-quiet", slot -> 3 * wave(slot));
    r.put("steady", slot -> 12);
    r.put("timer", slot -> slot % 4 == 0 ? 5 : 0);
    r.put("sparse", slot -> 0.03);
    r.put("drifting", slot -> 25 + 20 * Math.sin(slot / 61.0 + 3 * Math.sin(slot / 307.0)));
    r.put(
        "terms-end",
        slot -> 30
            * wave(slot)
            * (slot / PER_DAY % 14 == 0 && slot / PER_DAY > 0 && slot / PER_DAY <= TERMS_END
                ? 5
                : 1));
    r.put(
        "terms-end-day-early",
        slot ->
            30 * wave(slot) * (slot / PER_DAY == 14 || slot / PER_DAY == TERMS_END - 1 ? 5 : 1));
    r.put("surge-that-stays-away", slot -> 30 * wave(slot) * (slot / PER_DAY == 14 ? 5 : 1));
    r.put("ten-times-from-day-20", slot -> 6 * wave(slot) * (slot / PER_DAY >= 20 ? 10 : 1));
    r.put("a-tenth-from-day-20", slot -> 60 * wave(slot) * (slot / PER_DAY >= 20 ? 0.1 : 1));
    r.put("renamed-old", slot -> slot / PER_DAY < 24 ? 40 * wave(slot) : 0);
    r.put("renamed-new", slot -> slot / PER_DAY >= 24 ? 40 * wave(slot) : 0);
    return r;
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

  private void walk(SlotCalendar slots, Map<String, LongToDoubleFunction> rates) {
    Random random = new Random(seed);
    Forecasts forecasts = new Forecasts(slots, 4_096);
    Map<String, double[]> sums = new LinkedHashMap<>();
    Map<String, Map<String, Integer>> spoke = new HashMap<>();
    Map<String, Map<String, Double>> alone = new HashMap<>();
    Map<String, Map<String, Double>> before = new HashMap<>();
    double keep = Math.pow(0.5, 1.0 / (2 * PER_DAY));
    for (long slot = 0; slot < (long) days * PER_DAY; slot++) {
      Map<String, Integer> calls = new LinkedHashMap<>();
      for (Map.Entry<String, LongToDoubleFunction> e : rates.entrySet()) {
        calls.put(e.getKey(), poisson(e.getValue().applyAsDouble(slot), random));
      }
      for (String function : rates.keySet()) {
        Forecasts.Forecast expected = forecasts.forecast(function, slot);
        if (slot >= 7L * PER_DAY) {
          double[] sum = sums.computeIfAbsent(function, f -> new double[4]);
          sum[0] += calls.get(function);
          sum[1] += Math.abs(expected.mean() - calls.get(function));
          sum[2] += calls.get(function) > expected.upper() ? 1 : 0;
          sum[3]++;
          spoke
              .computeIfAbsent(function, f -> new HashMap<>())
              .merge(expected.forecasterName(), 1, Integer::sum);
        }
        before.put(function, forecasts.recentErrors(function));
      }
      forecasts.observe(slot, calls);
      if (slot >= 7L * PER_DAY) {
        // What a way missed by in this slot alone is what its fading sum grew by.
        rates
            .keySet()
            .forEach(function -> forecasts
                .recentErrors(function)
                .forEach((way, error) -> alone
                    .computeIfAbsent(function, f -> new HashMap<>())
                    .merge(
                        way,
                        error - keep * before.get(function).getOrDefault(way, 0.0),
                        Double::sum)));
      }
    }
    sums.forEach((function, sum) ->
        print(function, sum, alone.getOrDefault(function, Map.of()), spoke.get(function)));
  }

  private static void print(
      String function, double[] sum, Map<String, Double> alone, Map<String, Integer> spoke) {
    StringBuilder ways = new StringBuilder();
    for (String way : List.of("sparse", "last-slot", "last-week", "seasonal")) {
      ways.append(
          String.format(Locale.ROOT, " %9.2f", alone.getOrDefault(way, 0.0) / Math.max(1, sum[0])));
    }
    String most = spoke.entrySet().stream()
        .max(Map.Entry.comparingByValue())
        .orElseThrow()
        .getKey();
    System.out.printf(
        Locale.ROOT,
        "%-22s %8.0f  %7.2f %s  %5.1f%%  %s%n",
        function,
        sum[0],
        sum[1] / Math.max(1, sum[0]),
        ways,
        100 * sum[2] / sum[3],
        most);
  }

  /** Time of a slot and memory of a forecast, by the number of functions. */
  private static void size(int functions) {
    Forecasts forecasts = new Forecasts(new SlotCalendar(PER_DAY, 0, Map.of()), 4 * functions);
    Random random = new Random(3);
    List<String> names = new ArrayList<>();
    for (int i = 0; i < functions; i++) {
      names.add("svc/f" + i);
    }
    System.gc();
    long before = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    int rounds = 2 * PER_DAY;
    long took = 0;
    for (long slot = 0; slot < rounds; slot++) {
      Map<String, Integer> calls = new HashMap<>();
      names.forEach(n -> calls.put(n, 3 + random.nextInt(5)));
      long began = System.nanoTime();
      forecasts.observe(slot, calls);
      for (String n : names) {
        forecasts.forecast(n, slot + 1);
      }
      took += System.nanoTime() - began;
    }
    System.gc();
    long after = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    System.out.printf(
        Locale.ROOT,
        "%5d functions: %.2f ms a slot to observe and expect all, %.1f KiB each%n",
        functions,
        took / 1e6 / rounds,
        (after - before) / 1024.0 / functions);
    if (forecasts.functions().size() != functions) {
      throw new IllegalStateException("functions were lost");
    }
  }

  /** Entries that one-off names cost, with the sketch and with a table for each name. */
  private static void sketch() {
    Forecasts forecasts = new Forecasts(new SlotCalendar(PER_DAY, 0, Map.of()), 65_536);
    Map<String, Integer> plain = new HashMap<>();
    for (long slot = 0; slot < PER_DAY; slot++) {
      Map<String, Integer> calls = new HashMap<>();
      for (int i = 0; i < 1_000; i++) {
        calls.put("once/" + slot + "-" + i, 1);
      }
      calls.forEach((name, count) -> plain.merge(name, count, Integer::sum));
      forecasts.observe(slot, calls);
    }
    System.out.printf(
        Locale.ROOT,
        "%d names wanted once: %d table entries with the sketch (1 MiB of counters), %d without%n",
        plain.size(),
        forecasts.functions().size(),
        plain.size());
  }
}
