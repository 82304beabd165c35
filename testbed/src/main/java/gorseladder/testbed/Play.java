package gorseladder.testbed;

import gorseladder.RouterApi.Phase;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import gorseladder.testbed.RuleChecker.RuleStats;
import gorseladder.testbed.RuleChecker.Violation;
import gorseladder.testbed.script.DayScript;
import gorseladder.testbed.script.DayScript.Kind;
import gorseladder.testbed.script.DayScript.Trouble;
import java.io.IOException;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Plays the script of a day on a fleet and checks the rules. */
public final class Play {
  private static final Logger LOG = LoggerFactory.getLogger(Play.class);
  private static final int STACK = 512 << 10;
  /**
   * Delay allowed between a socket and the tap on an idle machine, in microseconds; {@link LagMeter} adds to it what
   * a busy machine added at that moment.
   */
  public static final long BASE_SLACK_MICROS = 40_000;

  private static final long END_TIMEOUT_MILLIS = 30_000;

  private final DayScript script;
  private final TestFleet fleet;
  private final WebhookClients clients;
  private final Random random;
  private final List<Thread> running = new ArrayList<>();
  private final List<Trouble> unplayed = java.util.Collections.synchronizedList(new ArrayList<>());
  private final List<WebhookClients.Kind> kinds = WebhookClients.kinds(
      TestFleet.LATENCY_TARGET_MICROS, TestFleet.DEADLINE_MICROS, TestFleet.REPEAT_WINDOW_MICROS);
  private volatile double rateFactor = 1;
  private volatile double hotKeyShare;
  private volatile double scanShare;

  /** Prepares a day; {@link #run} plays it. */
  public Play(DayScript script, TestFleet fleet) {
    this.script = script;
    this.fleet = fleet;
    this.clients = fleet.clients();
    this.random = new Random(script.count("seed"));
  }

  /**
   * The outcome of a day.
   *
   * @param overloadedRunners cold runners that collapsed because they were sent too much work
   * @param unplayed troubles that could not be played
   */
  public record Verdict(
      WebhookClients.Totals totals,
      int attempts,
      int loads,
      List<Violation> violations,
      int overloadedRunners,
      List<Trouble> unplayed,
      List<RuleStats> ruleStats) {
    /** Returns true if no rule was broken, no runner collapsed and every trouble was played. */
    public boolean good() {
      return violations.isEmpty() && overloadedRunners == 0 && unplayed.isEmpty();
    }

    /** Returns the numbers of the rules that the day did not exercise. */
    public List<Integer> untested() {
      return ruleStats.stream()
          .filter(p -> p.occasions() == 0)
          .map(RuleStats::rule)
          .toList();
    }

    /** Prints the figures of the day as a table. */
    public void print(PrintStream out) {
      out.printf(Locale.ROOT, "%-34s %8d%n", "calls", totals.calls.get());
      out.printf(Locale.ROOT, "%-34s %8d%n", "served", totals.served.get());
      out.printf(Locale.ROOT, "%-34s %8d%n", "  of these late", totals.late.get());
      out.printf(Locale.ROOT, "%-34s %8d%n", "refused", totals.refused.get());
      out.printf(Locale.ROOT, "%-34s %8d%n", "failed", totals.failed.get());
      out.printf(Locale.ROOT, "%-34s %8d%n", "not reached", totals.unreached.get());
      out.printf(Locale.ROOT, "%-34s %8d%n", "attempts at runners", attempts);
      out.printf(Locale.ROOT, "%-34s %8d%n", "loads", loads);
      out.printf(
          Locale.ROOT,
          "%-34s %5.0f / %.0f ms%n",
          "served from intended time, p50/p99",
          totals.latencyMillis(50),
          totals.latencyMillis(99));
      out.printf(
          Locale.ROOT, "%-34s %s%n", "reasons", WebhookClients.formatReasons(totals.reasons));
      ruleStats.forEach(out::println);
      out.printf(Locale.ROOT, "%-34s %8d%n", "rules broken", violations.size());
      violations.stream().limit(10).forEach(b -> out.println("  " + b));
      out.println(
          good()
              ? "GOOD: every call got exactly one final answer and no rule was broken"
              : "BAD: " + violations.size() + " breaks of rules, " + overloadedRunners
                  + " runners pushed over, " + unplayed.size() + " troubles not played");
    }
  }

  /** Plays the day; {@code progress}, unless null, receives a line every second. */
  public Verdict run(PrintStream progress) throws InterruptedException {
    LagMeter lag = new LagMeter();
    long start = Clock.micros() + 200_000;
    long end = start + (long) script.number("day");
    for (Trouble t : script.troubles()) {
      running.add(Threads.start("trouble", STACK, () -> runTrouble(t, start)));
    }
    sendCalls(start, end, progress);
    for (Thread t : running) {
      t.join(END_TIMEOUT_MILLIS);
    }
    boolean ended = clients.finish(END_TIMEOUT_MILLIS);
    lag.close();
    Tap tap = fleet.tap();
    RuleChecker.Report report = RuleChecker.report(
        tap,
        fleet.rules(),
        TestFleet.REPEAT_WINDOW_MICROS,
        at -> BASE_SLACK_MICROS + lag.callLagAt(at));
    List<Violation> violations = new ArrayList<>(report.violations());
    if (!ended) {
      violations.add(new Violation(1, "calls were still open long after the day"));
    }
    int overloadedRunners =
        (int) fleet.runners().stream().filter(StandInRunner::isOverloaded).count();
    synchronized (tap) {
      return new Verdict(
          clients.totals(),
          tap.arrivals.size(),
          fleet.archive().fetchCount(),
          violations,
          overloadedRunners,
          List.copyOf(unplayed),
          report.ruleStats());
    }
  }

  private void sendCalls(long start, long end, PrintStream progress) throws InterruptedException {
    double at = start;
    long nextLine = start + 1_000_000;
    long number = 0;
    while (at < end) {
      long wait = (long) at - Clock.micros();
      if (wait > 0) {
        Thread.sleep(wait / 1000, (int) (wait % 1000) * 1000);
      }
      sendCall(number++, (long) at);
      at += -Math.log(1 - random.nextDouble()) * 1e6 / (script.number("rate") * rateFactor);
      if (progress != null && at > nextLine) {
        WebhookClients.Totals t = clients.totals();
        progress.printf(
            Locale.ROOT,
            "%3d s  calls %5d  served %5d  refused %4d  failed %4d%n",
            (nextLine - start) / 1_000_000,
            t.calls.get(),
            t.served.get(),
            t.refused.get(),
            t.failed.get());
        nextLine += 1_000_000;
      }
    }
  }

  private void sendCall(long number, long intendedAt) {
    double draw = random.nextDouble()
        * (script.number("safe") + script.number("keyed") + script.number("unsafe"));
    int kind = draw < script.number("safe")
        ? 0
        : draw < script.number("safe") + script.number("keyed") ? 1 : 2;
    // Squaring concentrates the traffic on a few functions.
    int rank = (int) (Math.pow(random.nextDouble(), 2) * script.count("functions"));
    String function = "svc/f" + kind + "-" + rank;
    double specialDraw = random.nextDouble();
    if (specialDraw < hotKeyShare) {
      function = "svc/hot-" + kind;
    } else if (specialDraw < hotKeyShare + scanShare) {
      function = "svc/once-" + number;
    }
    clients.call(
        "msg_" + script.count("seed") + "_" + number,
        random.nextInt(fleet.edgeCount()),
        kinds.get(kind),
        function,
        Map.of(
            "lanes",
            script.count("lanes"),
            "memory_mb",
            300,
            "load_ms",
            (long) script.number("load") / 1000),
        intendedAt,
        random.nextLong());
  }

  private void runTrouble(Trouble t, long start) {
    try {
      sleepUntil(start + t.at());
      LOG.info("trouble begins: {}", t);
      applyTrouble(t, start + t.at() + t.lasts());
      LOG.info("trouble ends: {}", t.kind());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (IOException e) {
      LOG.error("trouble {} could not be played", t, e);
      unplayed.add(t);
    }
  }

  private static void sleepUntil(long micros) throws InterruptedException {
    Thread.sleep(Math.max(0, (micros - Clock.micros()) / 1000));
  }

  private List<StandInRunner> affectedRunners(Trouble t) {
    List<StandInRunner> all = new ArrayList<>(fleet.runners());
    java.util.Collections.shuffle(
        all, new Random(t.at() ^ t.kind().ordinal() ^ script.count("seed")));
    return all.subList(0, t.affectedCount(all.size()));
  }

  private void applyTrouble(Trouble t, long until) throws InterruptedException, IOException {
    switch (t.kind()) {
      case BURST -> {
        rateFactor = t.factor();
        sleepUntil(until);
        rateFactor = 1;
      }
      case RETRY_ABUSE -> {
        clients.retryAbuse = true;
        sleepUntil(until);
        clients.retryAbuse = false;
      }
      case REPLAY -> {
        clients.replayShare = t.share() ? t.amount() : 0.3;
        sleepUntil(until);
        clients.replayShare = 0;
      }
      case HOT_KEY -> {
        hotKeyShare = t.share() ? t.amount() : 0.3;
        sleepUntil(until);
        hotKeyShare = 0;
      }
      case SCAN -> {
        scanShare = t.share() ? t.amount() : 0.1;
        sleepUntil(until);
        scanShare = 0;
      }
      case LIST_BEHIND -> {
        fleet.list().setBehind(true);
        sleepUntil(until);
        fleet.list().setBehind(false);
      }
      case ARCHIVE_SLOW -> {
        fleet.archive().setSlowdown(t.factor());
        sleepUntil(until);
        fleet.archive().setSlowdown(1);
      }
      case RESTART_EDGES -> {
        for (int i = 0; i < t.affectedCount(fleet.edgeCount()); i++) {
          fleet.restartEdge(i, 200);
        }
      }
      default -> applyToRunners(t, until);
    }
  }

  private void applyToRunners(Trouble t, long until) throws InterruptedException, IOException {
    List<StandInRunner> affected = affectedRunners(t);
    for (StandInRunner r : affected) {
      startFault(t.kind(), t, r);
    }
    if (t.kind() == Kind.NEIGHBOUR || t.kind() == Kind.AGEING) {
      for (double growth = 1;
          Clock.micros() < until;
          growth = growth > 1 && t.kind() == Kind.NEIGHBOUR ? 1 : growth + 1) {
        for (StandInRunner r : affected) {
          r.faults().slowdown =
              t.kind() == Kind.AGEING ? growth * t.factor() / 2 : growth > 1 ? t.factor() : 1;
        }
        Thread.sleep(500);
      }
    }
    if (t.kind() == Kind.DRAIN) {
      removeDrained(affected);
    }
    sleepUntil(until);
    for (StandInRunner r : affected) {
      endFault(t.kind(), r);
    }
  }

  private void startFault(Kind kind, Trouble t, StandInRunner r) {
    StandInRunner.Faults f = r.faults();
    switch (kind) {
      case HANG, VANISH -> f.hang = true;
      case CRASH -> {
        r.crash();
        fleet.list().setPhase(r, Phase.GONE, false, false);
      }
      case SLOW -> f.slowdown = t.factor();
      case FAST_ERRORS -> f.errors = true;
      case THROTTLE -> f.throttle = true;
      case REPORT_LATE -> f.freezesReport = true;
      case SLOW_HANDSHAKE -> f.handshakeDelay = (long) (t.factor() * 100_000);
      case RESET -> f.reset = true;
      case STALE -> f.closeReused = true;
      case DRAIN -> {
        f.draining = true;
        fleet.list().setPhase(r, Phase.DRAINING, false, true);
      }
      default -> {}
    }
  }

  /** Lets drained runners finish their calls, removes them from the list and stops them. */
  private void removeDrained(List<StandInRunner> affected) throws InterruptedException {
    Thread.sleep(1_500);
    for (StandInRunner r : affected) {
      fleet.list().setPhase(r, Phase.GONE, false, true);
    }
    Thread.sleep(500);
    affected.forEach(StandInRunner::crash);
  }

  private void endFault(Kind kind, StandInRunner r) throws IOException {
    StandInRunner.Faults f = r.faults();
    switch (kind) {
      case CRASH, DRAIN, AGEING, VANISH -> {
        r.crash();
        f.slowdown = 1;
        r.restart();
        fleet.list().setPhase(r, Phase.RUNNING, true, true);
      }
      default -> {}
    }
    f.hang = false;
    f.slowdown = 1;
    f.errors = false;
    f.throttle = false;
    f.freezesReport = false;
    f.handshakeDelay = 0;
    f.reset = false;
    f.closeReused = false;
  }
}
