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

/** Plays a day's script in a fleet and judges it. */
public final class Play {
  private static final Logger LOG = LoggerFactory.getLogger(Play.class);
  private static final int STACK = 512 << 10;
  /**
   * What may pass between a socket and the tap on an idle machine; {@link LagMeter} adds for one that was busy at the
   * moment.
   */
  public static final long BASE_SLACK_MICROS = 40_000;

  private static final long ENDS_WITHIN = 30_000;

  private final DayScript script;
  private final TestFleet fleet;
  private final WebhookClients clients;
  private final Random random;
  private final List<Thread> running = new ArrayList<>();
  private final List<Trouble> unplayed = java.util.Collections.synchronizedList(new ArrayList<>());
  private final List<WebhookClients.Kind> kinds = WebhookClients.kinds(
      TestFleet.LATENCY_TARGET_MICROS, TestFleet.DEADLINE_MICROS, TestFleet.REPEAT_WINDOW_MICROS);
  private volatile double burst = 1;
  private volatile double hot;
  private volatile double scan;

  /** A day about to be played. */
  public Play(DayScript script, TestFleet fleet) {
    this.script = script;
    this.fleet = fleet;
    this.clients = fleet.clients();
    this.random = new Random(script.count("seed"));
  }

  /** The outcome of a day. */
  public record Verdict(
      WebhookClients.Totals totals,
      int attempts,
      int loads,
      List<Violation> violations,
      int overloadedRunners,
      List<Trouble> unplayed,
      List<RuleStats> ruleStats) {
    /** True where no rule was broken and every trouble was played. */
    public boolean good() {
      return violations.isEmpty() && overloadedRunners == 0 && unplayed.isEmpty();
    }

    /** Rules of which the day showed nothing. */
    public List<Integer> untested() {
      return ruleStats.stream()
          .filter(p -> p.occasions() == 0)
          .map(RuleStats::rule)
          .toList();
    }

    /** The table of the day. */
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
          totals.millis(50),
          totals.millis(99));
      out.printf(Locale.ROOT, "%-34s %s%n", "reasons", WebhookClients.print(totals.reasons));
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

  /** Plays the day; progress goes to {@code progress} once a second, null for none. */
  public Verdict run(PrintStream progress) throws InterruptedException {
    LagMeter lag = new LagMeter();
    long start = Clock.micros() + 200_000;
    long end = start + (long) script.number("day");
    for (Trouble t : script.troubles()) {
      running.add(Threads.start("trouble", STACK, () -> trouble(t, start)));
    }
    calls(start, end, progress);
    for (Thread t : running) {
      t.join(ENDS_WITHIN);
    }
    boolean ended = clients.finish(ENDS_WITHIN);
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
          fleet.archive().fetched(),
          violations,
          overloadedRunners,
          List.copyOf(unplayed),
          report.ruleStats());
    }
  }

  private void calls(long start, long end, PrintStream progress) throws InterruptedException {
    double at = start;
    long nextLine = start + 1_000_000;
    long number = 0;
    while (at < end) {
      long wait = (long) at - Clock.micros();
      if (wait > 0) {
        Thread.sleep(wait / 1000, (int) (wait % 1000) * 1000);
      }
      call(number++, (long) at);
      at += -Math.log(1 - random.nextDouble()) * 1e6 / (script.number("rate") * burst);
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

  private void call(long number, long meantFor) {
    double draw = random.nextDouble()
        * (script.number("safe") + script.number("keyed") + script.number("unsafe"));
    int kind = draw < script.number("safe")
        ? 0
        : draw < script.number("safe") + script.number("keyed") ? 1 : 2;
    // Few functions draw much of the traffic.
    int rank = (int) (Math.pow(random.nextDouble(), 2) * script.count("functions"));
    String function = "svc/f" + kind + "-" + rank;
    double odd = random.nextDouble();
    if (odd < hot) {
      function = "svc/hot-" + kind;
    } else if (odd < hot + scan) {
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
        meantFor,
        random.nextLong());
  }

  private void trouble(Trouble t, long start) {
    try {
      sleepUntil(start + t.at());
      LOG.info("trouble begins: {}", t);
      bring(t, start + t.at() + t.lasts());
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

  private List<StandInRunner> victims(Trouble t) {
    List<StandInRunner> all = new ArrayList<>(fleet.runners());
    java.util.Collections.shuffle(
        all, new Random(t.at() ^ t.kind().ordinal() ^ script.count("seed")));
    return all.subList(0, t.of(all.size()));
  }

  private void bring(Trouble t, long until) throws InterruptedException, IOException {
    switch (t.kind()) {
      case BURST -> {
        burst = t.factor();
        sleepUntil(until);
        burst = 1;
      }
      case RETRY_ABUSE -> {
        clients.abusive = true;
        sleepUntil(until);
        clients.abusive = false;
      }
      case HOT_KEY -> {
        hot = t.share() ? t.amount() : 0.3;
        sleepUntil(until);
        hot = 0;
      }
      case SCAN -> {
        scan = t.share() ? t.amount() : 0.1;
        sleepUntil(until);
        scan = 0;
      }
      case LIST_BEHIND -> {
        fleet.list().setBehind(true);
        sleepUntil(until);
        fleet.list().setBehind(false);
      }
      case ARCHIVE_SLOW -> {
        fleet.archive().slower(t.factor());
        sleepUntil(until);
        fleet.archive().slower(1);
      }
      case RESTART_EDGES -> {
        for (int i = 0; i < t.of(fleet.edgeCount()); i++) {
          fleet.restartEdge(i, 200);
        }
      }
      default -> runners(t, until);
    }
  }

  private void runners(Trouble t, long until) throws InterruptedException, IOException {
    List<StandInRunner> victims = victims(t);
    for (StandInRunner r : victims) {
      begin(t.kind(), t, r);
    }
    if (t.kind() == Kind.NEIGHBOUR || t.kind() == Kind.AGEING) {
      for (double grown = 1;
          Clock.micros() < until;
          grown = grown > 1 && t.kind() == Kind.NEIGHBOUR ? 1 : grown + 1) {
        for (StandInRunner r : victims) {
          r.faults().slower =
              t.kind() == Kind.AGEING ? grown * t.factor() / 2 : grown > 1 ? t.factor() : 1;
        }
        Thread.sleep(500);
      }
    }
    if (t.kind() == Kind.DRAIN) {
      drainedAndGone(victims);
    }
    sleepUntil(until);
    for (StandInRunner r : victims) {
      end(t.kind(), r);
    }
  }

  private void begin(Kind kind, Trouble t, StandInRunner r) {
    StandInRunner.Faults f = r.faults();
    switch (kind) {
      case HANG, VANISH -> f.hang = true;
      case CRASH -> {
        r.crash();
        fleet.list().set(r, Phase.GONE, false, false);
      }
      case SLOW -> f.slower = t.factor();
      case FAST_ERRORS -> f.errors = true;
      case THROTTLE -> f.throttle = true;
      case REPORT_LATE -> f.reportsLate = true;
      case SLOW_HANDSHAKE -> f.handshake = (long) (t.factor() * 100_000);
      case RESET -> f.reset = true;
      case STALE -> f.closeReused = true;
      case DRAIN -> {
        f.draining = true;
        fleet.list().set(r, Phase.DRAINING, false, true);
      }
      default -> {}
    }
  }

  /** A drained runner finishes what it holds, leaves the list and dies. */
  private void drainedAndGone(List<StandInRunner> victims) throws InterruptedException {
    Thread.sleep(1_500);
    for (StandInRunner r : victims) {
      fleet.list().set(r, Phase.GONE, false, true);
    }
    Thread.sleep(500);
    victims.forEach(StandInRunner::crash);
  }

  private void end(Kind kind, StandInRunner r) throws IOException {
    StandInRunner.Faults f = r.faults();
    switch (kind) {
      case CRASH, DRAIN, AGEING, VANISH -> {
        r.crash();
        f.slower = 1;
        r.restart();
        fleet.list().set(r, Phase.RUNNING, true, true);
      }
      default -> {}
    }
    f.hang = false;
    f.slower = 1;
    f.errors = false;
    f.throttle = false;
    f.reportsLate = false;
    f.handshake = 0;
    f.reset = false;
    f.closeReused = false;
  }
}
