package gorseladder;

import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.*;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates many routers with their own seeds and shares of the traffic. Together they must respect the limit for cold
 * workers, even if half of the fleet fails and returns cold at once and the other half then fails, so that all calls go
 * to cold workers.
 */
class ColdFleetTest {
  private static final long MS = 1_000;
  private static final long SECOND = 1_000 * MS;
  private static final int WORKERS = 20;
  private static final int LOST_WORKERS = 10;
  private static final long LOST_AT = 20 * SECOND;
  private static final long BACK_AT = 23 * SECOND;
  private static final long END_AT = 44 * SECOND;
  private static final long SERVICE_TIME = 200 * MS;
  /** Calls per second that a warm worker can serve. */
  private static final double CAPACITY_PER_SECOND = 20;

  private static final long LIST_DELAY = 700 * MS;

  private record ScheduledEvent(long at, long order, int router, Event event)
      implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
  private final Map<String, List<Long>> sends = new HashMap<>();
  private final Map<Long, String> functions = new HashMap<>();
  private final Set<String> loaded = new HashSet<>();
  private final Map<Long, Integer> attempts = new HashMap<>();
  private Settings settings;
  private long now;
  private long order;

  private void schedule(long at, int router, Event event) {
    queue.add(new ScheduledEvent(at, order++, router, event));
  }

  private static String worker(int i) {
    return "w" + i;
  }

  @ParameterizedTest
  @CsvSource({
    "3, 1, 1",
    "3, 2, 4",
    "30, 1, 1",
    "30, 2, 4",
    "30, 3, 9",
    "100, 1, 1",
    "100, 2, 4",
    "100, 3, 9",
    "200, 4, 6",
    "1000, 1, 4",
    "1000, 2, 9"
  })
  void allTogetherStayUnderWhatColdWorkersBear(int dispatchers, long seed, int secondsLater) {
    settings = TestSites.settings(true, false, dispatchers);
    Random random = new Random(seed);
    List<Router> routers = new ArrayList<>();
    double[] share = new double[dispatchers];
    double all = 0;
    List<WorkerEntry> known = new ArrayList<>();
    List<WorkerEntry> lost = new ArrayList<>();
    List<WorkerEntry> back = new ArrayList<>();
    List<WorkerEntry> others = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      known.add(TestSites.entry(worker(i), Phase.RUNNING, 0));
      if (i >= LOST_WORKERS) {
        others.add(TestSites.entry(worker(i), Phase.GONE, 0));
      } else {
        lost.add(TestSites.entry(worker(i), Phase.GONE, 0));
        back.add(TestSites.entry(worker(i), Phase.RUNNING, BACK_AT));
      }
    }
    for (int d = 0; d < dispatchers; d++) {
      routers.add(new Router(settings, random.nextLong()));
      share[d] = -Math.log(1 - random.nextDouble());
      all += share[d];
      schedule(1, d, new WorkerListUpdate(ListKind.SAVED, known));
      long lag = (long) (random.nextDouble() * 300 * MS);
      schedule(LOST_AT + LIST_DELAY + lag, d, new WorkerListUpdate(ListKind.DELTA, lost));
      schedule(BACK_AT + LIST_DELAY + lag, d, new WorkerListUpdate(ListKind.DELTA, back));
      schedule(
          BACK_AT + LIST_DELAY + secondsLater * SECOND + lag,
          d,
          new WorkerListUpdate(ListKind.DELTA, others));
    }
    double rate = 0.5 * WORKERS * CAPACITY_PER_SECOND;
    long id = 0;
    for (double at = 10 * MS;
        at < END_AT;
        at += -Math.log(1 - random.nextDouble()) / rate * SECOND) {
      int d = 0;
      for (double pick = random.nextDouble() * all; pick > share[d] && d < dispatchers - 1; d++) {
        pick -= share[d];
      }
      String f = "f" + (int) (60 * Math.pow(random.nextDouble(), 2.5));
      functions.put(++id, f);
      schedule(
          (long) at, d, new Request(id, "safe", "", f, 3_000 * MS, 0, 100, 2, 600 * MS, false));
    }
    while (!queue.isEmpty() && queue.peek().at() < END_AT) {
      ScheduledEvent due = queue.poll();
      now = due.at();
      routers
          .get(due.router())
          .on(now, due.event(), action -> carryOut(due.router(), action, random));
    }
    int maxSent = 0;
    for (int i = 0; i < LOST_WORKERS; i++) {
      maxSent = Math.max(maxSent, check(worker(i), dispatchers));
    }
    assertTrue(maxSent > 0, "nothing was sent to any cold worker");
  }

  private void carryOut(int router, Action action, Random random) {
    if (action instanceof SetTimer t) {
      schedule(now + Math.max(1, t.delay()), router, new TimerDue(t.token()));
    } else if (action instanceof Send s) {
      sends.computeIfAbsent(s.worker(), w -> new ArrayList<>()).add(now);
      int attempt = attempts.merge(s.id(), 1, Integer::sum) - 1;
      boolean workerLost = Integer.parseInt(s.worker().substring(1)) < LOST_WORKERS
          && now >= LOST_AT
          && now < BACK_AT;
      boolean wasLoaded = !loaded.add(s.worker() + functions.get(s.id()));
      long time = (long) (SERVICE_TIME * (0.5 + random.nextDouble()) / warmth(s.worker(), now))
          + (wasLoaded ? 0 : 600 * MS);
      schedule(
          now + (workerLost ? 2 * MS : time),
          router,
          new Answer(
              s.id(),
              attempt,
              s.worker(),
              workerLost ? Outcome.CONNECT_FAILED : Outcome.OK,
              !workerLost,
              time,
              workerLost ? CopyStatus.NONE : wasLoaded ? CopyStatus.WARM : CopyStatus.BEGAN,
              workerLost ? -1 : 0,
              Map.of()));
    }
  }

  private double warmth(String worker, long at) {
    if (Integer.parseInt(worker.substring(1)) >= LOST_WORKERS || at < BACK_AT) {
      return 1;
    }
    Rules rules = settings.rules();
    return Math.min(
        1,
        rules.initialCapacity()
            + (1 - rules.initialCapacity()) * (at - BACK_AT) / rules.rampDuration());
  }

  /** Checks every window of the rule after one worker has returned; returns the maximum of calls in one. */
  private int check(String worker, int dispatchers) {
    Rules rules = settings.rules();
    List<Long> at = sends.getOrDefault(worker, List.of()).stream()
        .filter(t -> t >= BACK_AT && t < BACK_AT + rules.rampDuration())
        .toList();
    int maxSent = 0;
    int from = 0;
    for (int i = 0; i < at.size(); i++) {
      while (at.get(from) <= at.get(i) - rules.overloadWindow()) {
        from++;
      }
      double allowed = rules.overloadMultiple()
          * CAPACITY_PER_SECOND
          * warmth(worker, at.get(from))
          * rules.overloadWindow()
          / SECOND;
      int sent = i - from + 1;
      maxSent = Math.max(maxSent, sent);
      assertTrue(
          sent <= allowed + 2 * Math.sqrt(allowed) + 2,
          dispatchers + " dispatchers sent " + sent + " to " + worker + " from "
              + (at.get(from) - BACK_AT) / MS + " ms after its start, allowed " + allowed);
    }
    return maxSent;
  }
}
