package gorseladder.testbed;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Rules;
import gorseladder.testbed.Tap.Arrival;
import gorseladder.testbed.Tap.Order;
import gorseladder.testbed.Tap.PhaseReport;
import gorseladder.testbed.Tap.Start;
import gorseladder.testbed.Tap.Try;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import java.util.function.LongUnaryOperator;
import java.util.stream.Collectors;

/**
 * Judges the five rules from a {@link Tap} alone, after the day. Pure; it knows the rules' figures and the classes'
 * repeat window, nothing of an edge. Slack stands for what the machine may have added at the very moment that is
 * judged.
 */
public final class RuleChecker {
  /** One break of a rule. */
  public record Violation(int rule, String text) {
    @Override
    public String toString() {
      return "rule " + rule + ": " + text;
    }
  }

  /**
   * How a rule was put under pressure.
   *
   * @param occasions what there was to judge; a rule without any was not tested by the day
   * @param slackMillis what the machine may have added, that is how far past its bound something must be to be called a
   *     break; the 99th percentile of all judgements
   * @param notJudged what was past its bound by no more than that: neither kept nor broken
   * @param closest how near the nearest came to breaking, in {@code unit}; below 0 it was past the bound; NaN or the
   *     largest value where nothing came near a bound
   */
  public record RuleStats(
      int rule,
      String what,
      long occasions,
      double closest,
      String unit,
      long slackMillis,
      long notJudged) {
    @Override
    public String toString() {
      return occasions == 0
          ? "rule " + rule + ": no occasion, not tested"
          : String.format(
              Locale.ROOT,
              "rule %d: %d %s%s%s",
              rule,
              occasions,
              what,
              Double.isNaN(closest) || closest == Double.MAX_VALUE
                  ? ""
                  : String.format(Locale.ROOT, ", closest %.0f %s", closest, unit),
              slackMillis < 0
                  ? ""
                  : String.format(
                      Locale.ROOT, ", slack p99 %d ms, not judged %d", slackMillis, notJudged));
    }
  }

  /** What a day showed: every break, and the pressure on each rule in its order. */
  public record Report(List<Violation> violations, List<RuleStats> ruleStats) {}

  /** An edge that sent to a runner within this time before has it in use. */
  private static final long IN_USE = 1_000_000;

  private final Tap tap;
  private final Rules rules;
  private final long repeatWindow;
  private final LongUnaryOperator slackAt;
  private final List<List<Long>> slacks = new ArrayList<>();
  private final long[] notJudged = new long[6];
  private final List<Violation> violations = new ArrayList<>();
  private final long[] occasions = new long[6];
  private final double[] closest = {
    0, Double.MAX_VALUE, Double.NaN, Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE
  };

  private RuleChecker(Tap tap, Rules rules, long repeatWindow, LongUnaryOperator slackAt) {
    this.tap = tap;
    this.rules = rules;
    this.repeatWindow = repeatWindow;
    this.slackAt = slackAt;
    for (int rule = 0; rule < 6; rule++) {
      slacks.add(new ArrayList<>());
    }
  }

  /** Every break found. */
  public static List<Violation> check(Tap tap, Rules rules, long repeatWindow, long slack) {
    return report(tap, rules, repeatWindow, at -> slack).violations();
  }

  /**
   * Every break found, and how each rule was put under pressure.
   *
   * @param slackAt microseconds that the machine may have added to what happened at a moment
   */
  public static Report report(Tap tap, Rules rules, long repeatWindow, LongUnaryOperator slackAt) {
    RuleChecker checker = new RuleChecker(tap, rules, repeatWindow, slackAt);
    synchronized (tap) {
      checker.answers();
      checker.effects();
      checker.drains();
      checker.coldRunners();
      checker.orders();
    }
    return new Report(checker.violations, checker.ruleStats());
  }

  private List<RuleStats> ruleStats() {
    return List.of(
        pressure(1, "tries answered", "ms before the client gave up"),
        pressure(2, "repeats or refusals of what had been sent", ""),
        pressure(
            3,
            "drains told of runners in use, and calls and orders after one",
            "ms before the grace ended"),
        pressure(4, "calls at cold runners", "% of the allowance left"),
        pressure(5, "load orders under a ration", "orders left"));
  }

  private RuleStats pressure(int rule, String what, String unit) {
    List<Long> all = slacks.get(rule);
    Collections.sort(all);
    return new RuleStats(
        rule,
        what,
        occasions[rule],
        closest[rule],
        unit,
        all.isEmpty() ? -1 : all.get((all.size() - 1) * 99 / 100) / 1000,
        notJudged[rule]);
  }

  /** True where something at that moment was past its bound by more than the machine may have added. */
  private boolean past(int rule, long at, long bound) {
    long slack = slackAt.applyAsLong(at);
    slacks.get(rule).add(slack);
    notJudged[rule] += at > bound && at <= bound + slack ? 1 : 0;
    return at > bound + slack;
  }

  private void judged(int rule, double left) {
    occasions[rule]++;
    closest[rule] = Math.min(closest[rule], left);
  }

  private void broke(int rule, String text) {
    violations.add(new Violation(rule, text));
  }

  private boolean edgeWasDown(Try t) {
    return tap.outages.stream()
        .anyMatch(d -> d.edge() == t.edge
            && d.from() <= t.sentAt + t.clientTimeout + slackAt.applyAsLong(d.from())
            && d.to() >= t.sentAt);
  }

  /** What a late try waited for, as far as its client saw it. */
  private String steps(Try t) {
    return t.reason + ", patience " + t.clientTimeout / 1000 + " ms, connected after "
        + (t.connectedAt - t.sentAt) / 1000 + " ms, written after "
        + (t.writtenAt - t.sentAt) / 1000 + " ms, machine's slack then "
        + slackAt.applyAsLong(t.answeredAt) / 1000 + " ms";
  }

  private static String interval(Try t) {
    return t.reason + " " + t.sentAt / 1000 + " to " + t.answeredAt / 1000;
  }

  private static <T> Map<String, List<T>> group(List<T> all, Function<T, String> by) {
    return all.stream().collect(Collectors.groupingBy(by, HashMap::new, Collectors.toList()));
  }

  /** Rule 1: one final answer in time, and nothing sent for a message after it. */
  private void answers() {
    for (Try t : tap.tries) {
      if (t.unreached || edgeWasDown(t)) {
        continue;
      }
      judged(
          1,
          t.statuses.isEmpty()
              ? Double.MAX_VALUE
              : (t.countsFrom() + t.clientTimeout - t.answeredAt) / 1000.0);
      if (t.statuses.isEmpty()) {
        broke(
            1,
            t.message + " got no answer from edge " + t.edge
                + (t.broken ? ", the connection broke" : ""));
      } else if (t.statuses.size() > 1) {
        broke(1, t.message + " got " + t.statuses.size() + " answers " + t.statuses);
      } else if (past(1, t.answeredAt, t.countsFrom() + t.clientTimeout)) {
        broke(
            1,
            t.message + " was answered " + (t.answeredAt - t.countsFrom() - t.clientTimeout) / 1000
                + " ms too late: " + steps(t));
      }
    }
    Map<String, List<Try>> tries = group(tap.tries, t -> t.message);
    for (Arrival a : tap.arrivals) {
      List<Try> of = tries.getOrDefault(a.message, List.of());
      boolean wanted = of.stream()
          .anyMatch(t -> t.sentAt <= a.at
              && (t.statuses.isEmpty()
                  || edgeWasDown(t)
                  || a.at <= t.answeredAt + slackAt.applyAsLong(a.at)));
      if (!wanted) {
        broke(
            1,
            a.message + " was sent to " + a.runner + " after its final answer: it came at "
                + a.at / 1000 + ", slack " + slackAt.applyAsLong(a.at) / 1000 + ", tries "
                + of.stream().map(RuleChecker::interval).toList() + " ms");
      }
    }
  }

  /** Rule 2: no effect twice, and a refusal only where nothing ran. */
  private void effects() {
    Map<String, List<Arrival>> arrivals = group(tap.arrivals, a -> a.message);
    Map<String, List<Try>> tries = group(tap.tries, t -> t.message);
    arrivals.forEach((message, all) -> {
      Effect effect = tries.containsKey(message) ? tries.get(message).get(0).effect : Effect.UNSAFE;
      if (effect != Effect.SAFE) {
        all.sort(Comparator.comparingLong(a -> a.at));
        repeats(message, effect, all);
        if (effect == Effect.UNSAFE) {
          refusals(message, all, tries.getOrDefault(message, List.of()));
        }
      }
    });
  }

  private static boolean provenNeverRan(Arrival a, long by) {
    return a.saidNeverRan && a.endedAt <= by && !a.ran;
  }

  private void repeats(String message, Effect effect, List<Arrival> all) {
    long runs = all.stream().filter(a -> a.ran).count();
    if (runs > 1) {
      broke(2, message + " ran " + runs + " times");
    }
    for (int i = 1; i < all.size(); i++) {
      Arrival later = all.get(i);
      judged(2, Double.NaN);
      for (Arrival earlier : all.subList(0, i)) {
        boolean mayHaveRun = !provenNeverRan(earlier, later.at);
        if (mayHaveRun && effect == Effect.UNSAFE) {
          broke(
              2,
              message + " was sent to " + later.runner + " though it may have run at "
                  + earlier.runner);
          return;
        }
        if (mayHaveRun && effect == Effect.KEYED && past(2, later.at, earlier.at + repeatWindow)) {
          broke(2, message + " was sent again after its repeat window");
          return;
        }
      }
    }
  }

  private void refusals(String message, List<Arrival> all, List<Try> tries) {
    for (Try t : tries) {
      boolean refused = t.retryAfter && !t.statuses.isEmpty();
      if (refused && all.stream().anyMatch(a -> a.at < t.answeredAt)) {
        judged(2, Double.NaN);
      }
      if (refused
          && all.stream().anyMatch(a -> a.at < t.answeredAt && !provenNeverRan(a, t.answeredAt))) {
        broke(2, message + " was refused as harmless though it may have run");
      }
    }
  }

  /** Rule 3: after the grace of a drain nothing new, call or order. */
  private void drains() {
    Map<String, List<PhaseReport>> words =
        group(tap.phaseReports, t -> t.edge() + " " + t.runner());
    words.values().forEach(list -> list.sort(Comparator.comparingLong(PhaseReport::at)));
    for (PhaseReport word : tap.phaseReports) {
      // An edge that had just sent there would have sent on: that is what the word had to stop.
      if (word.phase() != Phase.RUNNING
          && tap.arrivals.stream()
              .anyMatch(a -> a.edge == word.edge()
                  && a.runner.equals(word.runner())
                  && a.at <= word.at()
                  && a.at > word.at() - IN_USE)) {
        judged(3, Double.MAX_VALUE);
      }
    }
    for (Arrival a : tap.arrivals) {
      drain(
          words.getOrDefault(a.edge + " " + a.runner, List.of()),
          a.at,
          "call " + a.message,
          a.runner);
    }
    for (Order o : tap.orders) {
      if (o.copies() > 0) {
        drain(
            words.getOrDefault(o.edge() + " " + o.runner(), List.of()),
            o.at(),
            "order for " + o.function(),
            o.runner());
      }
    }
  }

  private void drain(List<PhaseReport> words, long at, String what, String runner) {
    long closedSince = -1;
    for (PhaseReport word : words) {
      if (word.at() > at) {
        break;
      }
      closedSince = word.phase() == Phase.RUNNING ? -1 : closedSince < 0 ? word.at() : closedSince;
    }
    if (closedSince >= 0) {
      judged(3, (closedSince + rules.drainGrace() - at) / 1000.0);
    }
    if (closedSince >= 0 && past(3, at, closedSince + rules.drainGrace())) {
      broke(
          3,
          what + " reached " + runner + " " + (at - closedSince) / 1000
              + " ms after its drain was told");
    }
  }

  /** Rule 4: in no window does a cold runner get more than the multiple of what it can do then. */
  private void coldRunners() {
    Map<String, List<Arrival>> arrivals = group(tap.arrivals, a -> a.runner);
    for (Start start : tap.starts) {
      List<Arrival> cold = arrivals.getOrDefault(start.runner(), List.of()).stream()
          .filter(a -> a.at >= start.at() && a.at <= start.at() + rules.rampDuration())
          .sorted(Comparator.comparingLong(a -> a.at))
          .toList();
      double sum = 0;
      int first = 0;
      for (Arrival a : cold) {
        sum += a.work;
        while (cold.get(first).at <= a.at - rules.overloadWindow()) {
          sum -= cold.get(first++).work;
        }
        double warmth = rules.initialCapacity()
            + (1 - rules.initialCapacity()) * (a.at - start.at()) / rules.rampDuration();
        double most = rules.overloadMultiple() * start.capacity() * warmth * rules.overloadWindow();
        judged(4, 100 * (most - sum) / most);
        if (sum > most + 2 * a.work) {
          broke(
              4,
              start.runner() + " was sent " + Math.round(sum / 1000)
                  + " ms of work in a window for " + Math.round(most / 1000) + " while cold");
          break;
        }
      }
    }
  }

  /** Rule 5: load orders within the ration; calls are counted from a little before the window, for the tap's slack. */
  private void orders() {
    if (rules.loadWindow() == 0) {
      return;
    }
    List<Order> counted = tap.orders.stream()
        .filter(o -> o.copies() > 0)
        .sorted(Comparator.comparingLong(Order::at))
        .toList();
    for (Order o : counted) {
      long from = o.at() - rules.loadWindow();
      long slack = slackAt.applyAsLong(o.at());
      long within = counted.stream()
          .filter(p -> p.edge() == o.edge() && p.at() > from + slack && p.at() <= o.at())
          .count();
      long taken = tap.tries.stream()
          .filter(t -> t.edge == o.edge() && t.sentAt > from - slack && t.sentAt <= o.at())
          .count();
      judged(5, rules.freeLoads() + rules.loadsPerCall() * taken - within);
      if (within > rules.freeLoads() + rules.loadsPerCall() * taken) {
        broke(
            5, "edge " + o.edge() + " ordered " + within + " loads with " + taken + " calls taken");
      }
    }
  }
}
