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
 * Checks the five routing rules after a day has been played, from the recordings of a {@link Tap} alone. It uses only
 * the figures of the rules and the repeat window of the request classes, and no state of an edge. Each comparison
 * with a time bound allows a slack: the delay that the machine itself may have added at that moment.
 */
public final class RuleChecker {
  /** A violation of a rule. */
  public record Violation(int rule, String text) {
    @Override
    public String toString() {
      return "rule " + rule + ": " + text;
    }
  }

  /**
   * How often a day exercised a rule, and how close it came to a violation.
   *
   * @param occasions situations to which the rule applied; a rule without any was not tested by the day
   * @param smallestMargin smallest distance to a violation, in {@code unit}; negative where a bound was passed; NaN
   *     or {@link Double#MAX_VALUE} where nothing was compared with a bound
   * @param slackMillis 99th percentile, over all comparisons, of the delay that the machine may have added: only what
   *     exceeds its bound by more than the slack is a violation; negative where nothing was compared
   * @param notJudged events past their bound by no more than the slack: neither kept nor broken
   */
  public record RuleStats(
      int rule,
      String description,
      long occasions,
      double smallestMargin,
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
              description,
              Double.isNaN(smallestMargin) || smallestMargin == Double.MAX_VALUE
                  ? ""
                  : String.format(Locale.ROOT, ", closest %.0f %s", smallestMargin, unit),
              slackMillis < 0
                  ? ""
                  : String.format(
                      Locale.ROOT, ", slack p99 %d ms, not judged %d", slackMillis, notJudged));
    }
  }

  /** All violations of a day, and the statistics of each rule in the order of the rules. */
  public record Report(List<Violation> violations, List<RuleStats> ruleStats) {}

  /** An edge counts as using a runner if it sent a call there within this time before. */
  private static final long IN_USE_MICROS = 1_000_000;

  private final Tap tap;
  private final Rules rules;
  private final long repeatWindow;
  private final LongUnaryOperator slackAt;
  private final List<List<Long>> slackSamples = new ArrayList<>();
  private final long[] notJudged = new long[6];
  private final List<Violation> violations = new ArrayList<>();
  private final long[] occasions = new long[6];
  private final double[] smallestMargins = {
    0, Double.MAX_VALUE, Double.NaN, Double.MAX_VALUE, Double.MAX_VALUE, Double.MAX_VALUE
  };

  private RuleChecker(Tap tap, Rules rules, long repeatWindow, LongUnaryOperator slackAt) {
    this.tap = tap;
    this.rules = rules;
    this.repeatWindow = repeatWindow;
    this.slackAt = slackAt;
    for (int rule = 0; rule < 6; rule++) {
      slackSamples.add(new ArrayList<>());
    }
  }

  /** Returns all violations, with the same slack in microseconds at every moment. */
  public static List<Violation> check(Tap tap, Rules rules, long repeatWindow, long slack) {
    return report(tap, rules, repeatWindow, at -> slack).violations();
  }

  /**
   * Returns all violations and the statistics of each rule.
   *
   * @param slackAt microseconds that the machine may have added to an event at the given time
   */
  public static Report report(Tap tap, Rules rules, long repeatWindow, LongUnaryOperator slackAt) {
    RuleChecker checker = new RuleChecker(tap, rules, repeatWindow, slackAt);
    synchronized (tap) {
      checker.checkFinalAnswers();
      checker.checkEffects();
      checker.checkSignedRequests();
      checker.checkDrains();
      checker.checkColdRunners();
      checker.checkLoadOrders();
    }
    return new Report(checker.violations, checker.ruleStats());
  }

  private List<RuleStats> ruleStats() {
    return List.of(
        statsOf(1, "tries answered", "ms before the client gave up"),
        statsOf(2, "repeats or refusals of what had been sent", ""),
        statsOf(
            3,
            "drains told of runners in use, and calls and orders after one",
            "ms before the grace ended"),
        statsOf(4, "calls at cold runners", "% of the allowance left"),
        statsOf(5, "load orders under a ration", "orders left"));
  }

  private RuleStats statsOf(int rule, String description, String unit) {
    List<Long> all = slackSamples.get(rule);
    Collections.sort(all);
    return new RuleStats(
        rule,
        description,
        occasions[rule],
        smallestMargins[rule],
        unit,
        all.isEmpty() ? -1 : all.get((all.size() - 1) * 99 / 100) / 1000,
        notJudged[rule]);
  }

  /**
   * Returns true if an event is later than its bound by more than the slack; records the slack and counts undecided
   * events.
   */
  private boolean exceedsBound(int rule, long at, long bound) {
    long slack = slackAt.applyAsLong(at);
    slackSamples.get(rule).add(slack);
    notJudged[rule] += at > bound && at <= bound + slack ? 1 : 0;
    return at > bound + slack;
  }

  private void countOccasion(int rule, double margin) {
    occasions[rule]++;
    smallestMargins[rule] = Math.min(smallestMargins[rule], margin);
  }

  private void addViolation(int rule, String text) {
    violations.add(new Violation(rule, text));
  }

  private boolean edgeWasDown(Try t) {
    return tap.outages.stream()
        .anyMatch(d -> d.edge() == t.edge
            && d.from() <= t.sentAt + t.clientTimeout + slackAt.applyAsLong(d.from())
            && d.to() >= t.sentAt);
  }

  /** Describes the steps of a late try as its client saw them. */
  private String describe(Try t) {
    return t.reason + ", patience " + t.clientTimeout / 1000 + " ms, connected after "
        + (t.connectedAt - t.sentAt) / 1000 + " ms, written after "
        + (t.writtenAt - t.sentAt) / 1000 + " ms, machine's slack then "
        + slackAt.applyAsLong(t.answeredAt) / 1000 + " ms";
  }

  private static String describeInterval(Try t) {
    return t.reason + " " + t.sentAt / 1000 + " to " + t.answeredAt / 1000;
  }

  /** The id that the signature covers: a message may be posted at several paths. */
  private static String senderId(String message) {
    return message.substring(message.indexOf(' ') + 1);
  }

  private static <T> Map<String, List<T>> group(List<T> all, Function<T, String> by) {
    return all.stream().collect(Collectors.groupingBy(by, HashMap::new, Collectors.toList()));
  }

  /** Rule 1: each try gets exactly one final answer in time, and nothing is sent for a message after it. */
  private void checkFinalAnswers() {
    for (Try t : tap.tries) {
      if (t.unreached || edgeWasDown(t)) {
        continue;
      }
      countOccasion(
          1,
          t.statuses.isEmpty()
              ? Double.MAX_VALUE
              : (t.countsFrom() + t.clientTimeout - t.answeredAt) / 1000.0);
      if (t.statuses.isEmpty()) {
        addViolation(
            1,
            t.message + " got no answer from edge " + t.edge
                + (t.broken ? ", the connection broke" : ""));
      } else if (t.statuses.size() > 1) {
        addViolation(1, t.message + " got " + t.statuses.size() + " answers " + t.statuses);
      } else if (exceedsBound(1, t.answeredAt, t.countsFrom() + t.clientTimeout)) {
        addViolation(
            1,
            t.message + " was answered " + (t.answeredAt - t.countsFrom() - t.clientTimeout) / 1000
                + " ms too late: " + describe(t));
      }
    }
    Map<String, List<Try>> tries = group(tap.tries, t -> senderId(t.message));
    for (Arrival a : tap.arrivals) {
      List<Try> messageTries = tries.getOrDefault(senderId(a.message), List.of());
      boolean awaited = messageTries.stream()
          .anyMatch(t -> t.sentAt <= a.at
              && (t.statuses.isEmpty()
                  || edgeWasDown(t)
                  || a.at <= t.answeredAt + slackAt.applyAsLong(a.at)));
      if (!awaited) {
        addViolation(
            1,
            a.message + " was sent to " + a.runner + " after its final answer: it came at "
                + a.at / 1000 + ", slack " + slackAt.applyAsLong(a.at) / 1000 + ", tries "
                + messageTries.stream().map(RuleChecker::describeInterval).toList() + " ms");
      }
    }
  }

  /** Rule 2: no effect happens twice, and a call is refused only if it never ran. */
  private void checkEffects() {
    Map<String, List<Arrival>> arrivals = group(tap.arrivals, a -> senderId(a.message));
    Map<String, List<Try>> tries = group(tap.tries, t -> senderId(t.message));
    arrivals.forEach((message, all) -> {
      Effect effect = tries.containsKey(message) ? tries.get(message).get(0).effect : Effect.UNSAFE;
      if (effect != Effect.SAFE) {
        all.sort(Comparator.comparingLong(a -> a.at));
        checkRepeats(message, effect, all);
        if (effect == Effect.UNSAFE) {
          checkRefusals(message, all, tries.getOrDefault(message, List.of()));
        }
      }
    });
  }

  /** Rule 2 for any class: a signed request is taken once, wherever it is posted. */
  private void checkSignedRequests() {
    group(tap.tries, t -> t.signedRequest).forEach((request, copies) -> {
      List<Try> served = copies.stream().filter(t -> t.statuses.contains(200)).toList();
      // A safe call is on record with its end only, and a kill may forget that.
      boolean forgotten = !served.isEmpty()
          && served.get(0).effect == Effect.SAFE
          && copies.stream().anyMatch(this::edgeWasDown);
      if (served.size() > 1 && !forgotten) {
        addViolation(
            2,
            request + " was taken " + served.size() + " times: "
                + served.stream().map(t -> t.message + " " + t.reason).toList());
      }
    });
  }

  private static boolean provenNeverRan(Arrival a, long by) {
    return a.saidNeverRan && a.endedAt <= by && !a.ran;
  }

  private void checkRepeats(String message, Effect effect, List<Arrival> all) {
    long runs = all.stream().filter(a -> a.ran).count();
    if (runs > 1) {
      addViolation(2, message + " ran " + runs + " times");
    }
    for (int i = 1; i < all.size(); i++) {
      Arrival later = all.get(i);
      countOccasion(2, Double.NaN);
      for (Arrival earlier : all.subList(0, i)) {
        boolean mayHaveRun = !provenNeverRan(earlier, later.at);
        if (mayHaveRun && effect == Effect.UNSAFE) {
          addViolation(
              2,
              message + " was sent to " + later.runner + " though it may have run at "
                  + earlier.runner);
          return;
        }
        if (mayHaveRun
            && effect == Effect.KEYED
            && exceedsBound(2, later.at, earlier.at + repeatWindow)) {
          addViolation(2, message + " was sent again after its repeat window");
          return;
        }
      }
    }
  }

  private void checkRefusals(String message, List<Arrival> all, List<Try> tries) {
    for (Try t : tries) {
      boolean refused = t.retryAfter && !t.statuses.isEmpty();
      if (refused && all.stream().anyMatch(a -> a.at < t.answeredAt)) {
        countOccasion(2, Double.NaN);
      }
      if (refused
          && all.stream().anyMatch(a -> a.at < t.answeredAt && !provenNeverRan(a, t.answeredAt))) {
        addViolation(2, message + " was refused as harmless though it may have run");
      }
    }
  }

  /** Rule 3: after the grace period of a drain, neither calls nor load orders are sent. */
  private void checkDrains() {
    Map<String, List<PhaseReport>> reports =
        group(tap.phaseReports, t -> t.edge() + " " + t.runner());
    reports.values().forEach(list -> list.sort(Comparator.comparingLong(PhaseReport::at)));
    for (PhaseReport report : tap.phaseReports) {
      // An edge that has just used the runner would send more: the report has to stop it.
      if (report.phase() != Phase.RUNNING
          && tap.arrivals.stream()
              .anyMatch(a -> a.edge == report.edge()
                  && a.runner.equals(report.runner())
                  && a.at <= report.at()
                  && a.at > report.at() - IN_USE_MICROS)) {
        countOccasion(3, Double.MAX_VALUE);
      }
    }
    for (Arrival a : tap.arrivals) {
      checkDrain(
          reports.getOrDefault(a.edge + " " + a.runner, List.of()),
          a.at,
          "call " + a.message,
          a.runner);
    }
    for (Order o : tap.orders) {
      if (o.copies() > 0) {
        checkDrain(
            reports.getOrDefault(o.edge() + " " + o.runner(), List.of()),
            o.at(),
            "order for " + o.function(),
            o.runner());
      }
    }
  }

  private void checkDrain(List<PhaseReport> reports, long at, String description, String runner) {
    long closedSince = -1;
    for (PhaseReport report : reports) {
      if (report.at() > at) {
        break;
      }
      closedSince =
          report.phase() == Phase.RUNNING ? -1 : closedSince < 0 ? report.at() : closedSince;
    }
    if (closedSince >= 0) {
      countOccasion(3, (closedSince + rules.drainGrace() - at) / 1000.0);
    }
    if (closedSince >= 0 && exceedsBound(3, at, closedSince + rules.drainGrace())) {
      addViolation(
          3,
          description + " reached " + runner + " " + (at - closedSince) / 1000
              + " ms after its drain was told");
    }
  }

  /**
   * Rule 4: in no window is a cold runner sent more than the permitted multiple of the work that it can do at its
   * warm-up level.
   */
  private void checkColdRunners() {
    Map<String, List<Arrival>> arrivals = group(tap.arrivals, a -> a.runner);
    for (Start start : tap.starts) {
      List<Arrival> cold = arrivals.getOrDefault(start.runner(), List.of()).stream()
          .filter(a -> a.at >= start.at() && a.at <= start.at() + rules.rampDuration())
          .sorted(Comparator.comparingLong(a -> a.at))
          .toList();
      double workInWindow = 0;
      int oldest = 0;
      for (Arrival a : cold) {
        workInWindow += a.work;
        while (cold.get(oldest).at <= a.at - rules.overloadWindow()) {
          workInWindow -= cold.get(oldest++).work;
        }
        double warmth = rules.initialCapacity()
            + (1 - rules.initialCapacity()) * (a.at - start.at()) / rules.rampDuration();
        double maxWork =
            rules.overloadMultiple() * start.capacity() * warmth * rules.overloadWindow();
        countOccasion(4, 100 * (maxWork - workInWindow) / maxWork);
        if (workInWindow > maxWork + 2 * a.work) {
          addViolation(
              4,
              start.runner() + " was sent " + Math.round(workInWindow / 1000)
                  + " ms of work in a window for " + Math.round(maxWork / 1000) + " while cold");
          break;
        }
      }
    }
  }

  /**
   * Rule 5: load orders stay within the ration. Calls are counted from slightly before the window, because of the
   * slack of the recorded times.
   */
  private void checkLoadOrders() {
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
      long ordersInWindow = counted.stream()
          .filter(p -> p.edge() == o.edge() && p.at() > from + slack && p.at() <= o.at())
          .count();
      long callsInWindow = tap.tries.stream()
          .filter(t -> t.edge == o.edge() && t.sentAt > from - slack && t.sentAt <= o.at())
          .count();
      countOccasion(5, rules.freeLoads() + rules.loadsPerCall() * callsInWindow - ordersInWindow);
      if (ordersInWindow > rules.freeLoads() + rules.loadsPerCall() * callsInWindow) {
        addViolation(
            5,
            "edge " + o.edge() + " ordered " + ordersInWindow + " loads with " + callsInWindow
                + " calls taken");
      }
    }
  }
}
