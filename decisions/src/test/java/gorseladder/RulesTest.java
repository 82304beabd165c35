package gorseladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.*;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks the five rules on every action of the router under random but legal outcomes with fixed seeds. */
class RulesTest {
  private static final long MS = 1000;

  private record ScheduledEvent(long at, long order, Event event)
      implements Comparable<ScheduledEvent> {
    @Override
    public int compareTo(ScheduledEvent other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private static final class Call {
    Request request;
    long deadline;
    boolean ended;
    int finalAnswers;
    final List<Send> sends = new ArrayList<>();
    final List<Long> sentAt = new ArrayList<>();
    final List<Outcome> outcomes = new ArrayList<>();
  }

  private final Map<Long, Call> calls = new HashMap<>();
  private final PriorityQueue<ScheduledEvent> queue = new PriorityQueue<>();
  private final Set<String> stoppedWorkers = new HashSet<>();
  private final Set<String> openOrders = new HashSet<>();
  private final ArrayDeque<Long> loadOrderTimes = new ArrayDeque<>();
  private final ArrayDeque<Long> requestTimes = new ArrayDeque<>();
  private final ArrayDeque<Long> coldSendTimes = new ArrayDeque<>();
  private Settings settings;
  private Random random;
  private long now;
  private long order;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void rulesHoldUnderArbitraryOutcomes(long seed) {
    random = new Random(seed);
    settings = TestSites.settings(seed % 2 == 0, seed % 3 == 0);
    Router router = new Router(settings, seed);
    String[] names = {"a", "b", "c", "d", "cold"};
    List<WorkerEntry> list = new ArrayList<>();
    for (String name : names) {
      list.add(TestSites.entry(name, Phase.RUNNING, name.equals("cold") ? 1 : 0));
    }
    schedule(1, new WorkerListUpdate(ListKind.SAVED, list));
    schedule(
        6000 * MS,
        new WorkerListUpdate(ListKind.DELTA, List.of(TestSites.entry("a", Phase.DRAINING, 0))));
    schedule(
        9000 * MS,
        new WorkerListUpdate(ListKind.DELTA, List.of(TestSites.entry("b", Phase.GONE, 0))));
    for (long id = 1; id <= 1500; id++) {
      String kind = settings.classes().get(random.nextInt(3)).name();
      schedule(
          10 + random.nextInt(15_000) * MS,
          new Request(
              id,
              kind,
              "",
              "f" + random.nextInt(12),
              (100 + random.nextInt(2900)) * MS,
              0,
              100,
              1 + random.nextInt(3),
              400 * MS,
              false));
    }
    while (!queue.isEmpty() && queue.peek().at() < 25_000 * MS) {
      ScheduledEvent due = queue.poll();
      now = due.at();
      Event event = track(due.event());
      if (event != null) {
        router.on(now, event, this::check);
      }
    }
    assertEquals(1500, calls.size());
    for (Call call : calls.values()) {
      assertEquals(1, call.finalAnswers, "final answers of " + call.request);
    }
  }

  private void schedule(long delay, Event event) {
    queue.add(new ScheduledEvent(now + delay, order++, event));
  }

  /** Applies an event to the expected state of the calls before the router gets it. */
  private Event track(Event event) {
    if (event instanceof Request r) {
      Call call = new Call();
      call.request = r;
      call.deadline = now + r.timeLeft();
      calls.put(r.id(), call);
      requestTimes.addLast(now);
    } else if (event instanceof WorkerListUpdate w) {
      w.entries().stream()
          .filter(e -> e.phase() != Phase.RUNNING)
          .forEach(e -> stoppedWorkers.add(e.worker()));
    } else if (event instanceof Loaded l) {
      openOrders.remove(l.worker() + " " + l.function());
    } else if (event instanceof Answer a) {
      Call call = calls.get(a.id());
      call.outcomes.set(a.attempt(), a.outcome());
      if (a.outcome() == Outcome.OK && !call.ended) {
        call.ended = true;
        call.finalAnswers++;
      }
      return new Answer(
          a.id(),
          a.attempt(),
          a.worker(),
          a.outcome(),
          call.ended,
          a.latency(),
          a.copyStatus(),
          a.concurrency(),
          a.report());
    }
    return event;
  }

  private void check(Action action) {
    if (action instanceof Send s) {
      checkSend(s);
    } else if (action instanceof Load l) {
      checkLoad(l);
    } else if (action instanceof Fail f) {
      checkFinalAnswer(calls.get(f.id()));
    } else if (action instanceof Refuse r) {
      Call call = calls.get(r.id());
      boolean ran = call.outcomes.stream().anyMatch(o -> o == null || !o.neverRan);
      assertTrue(
          call.request.requestClass().equals("safe") || !ran, "refused a call that may have run");
      checkFinalAnswer(call);
    } else if (action instanceof SetTimer t) {
      schedule(Math.max(1, t.delay()), new TimerDue(t.token()));
    }
  }

  private void checkFinalAnswer(Call call) {
    assertTrue(!call.ended, "a second final answer");
    assertTrue(now <= call.deadline + 8 * MS, "a late final answer");
    call.ended = true;
    call.finalAnswers++;
  }

  private void checkSend(Send s) {
    Call call = calls.get(s.id());
    assertTrue(!call.ended, "sent after the final answer");
    assertTrue(!stoppedWorkers.contains(s.worker()), "sent to a stopped worker");
    assertTrue(call.sends.size() < settings.limits().maxAttempts(), "too many attempts");
    boolean anyOut = call.outcomes.stream().anyMatch(o -> o == null);
    assertTrue(!anyOut || settings.limits().duplicates(), "two attempts outstanding");
    for (int i = 0; i < call.sends.size(); i++) {
      boolean ran = call.outcomes.get(i) == null || !call.outcomes.get(i).neverRan;
      assertTrue(!ran || !call.request.requestClass().equals("unsafe"), "an unsafe call repeated");
      boolean inWindow = now - call.sentAt.get(i) <= 2000 * MS;
      assertTrue(
          !ran || !call.request.requestClass().equals("keyed") || inWindow,
          "repeated after its window");
    }
    if (s.worker().equals("cold")) {
      checkCold();
    }
    int number = call.sends.size();
    call.sends.add(s);
    call.sentAt.add(now);
    call.outcomes.add(null);
    long delay = 1 + random.nextInt(600) * MS;
    Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
    if (random.nextInt(3) > 0) {
      outcome = Outcome.OK;
    }
    if (outcome == Outcome.TIMEOUT || now + delay > call.deadline) {
      delay = call.deadline - now + 2 * MS;
      outcome = Outcome.TIMEOUT;
    }
    CopyStatus note = CopyStatus.values()[random.nextInt(CopyStatus.values().length)];
    schedule(
        delay,
        new Answer(
            s.id(), number, s.worker(), outcome, false, delay, note, random.nextInt(4), Map.of()));
  }

  private void checkCold() {
    coldSendTimes.addLast(now);
    coldSendTimes.removeIf(t -> t <= now - settings.rules().overloadWindow());
    double ramp = settings.rules().initialCapacity()
        + (1 - settings.rules().initialCapacity()) * now / settings.rules().rampDuration();
    double fairShare = 1500 / 15.0 / 5 * settings.rules().overloadWindow() / 1e6;
    double budget = Math.min(1, ramp) * settings.rules().overloadMultiple() * fairShare;
    assertTrue(
        coldSendTimes.size() <= Math.max(1, budget),
        "too many calls to a cold worker: " + coldSendTimes.size());
  }

  private void checkLoad(Load l) {
    assertTrue(openOrders.add(l.worker() + " " + l.function()), "two orders outstanding");
    Outcome[] ends = {
      Outcome.OK, Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT
    };
    Outcome outcome = l.copies() == 0 ? Outcome.OK : ends[random.nextInt(ends.length)];
    int loadedCopies = outcome == Outcome.OK ? l.copies() : 0;
    long delay = 1 + random.nextInt(l.copies() == 0 ? 5 : 900) * MS;
    schedule(delay, new Loaded(l.worker(), l.function(), loadedCopies, outcome, delay));
    if (l.copies() == 0) {
      return;
    }
    assertTrue(!stoppedWorkers.contains(l.worker()), "ordered at a stopped worker");
    loadOrderTimes.addLast(now);
    loadOrderTimes.removeIf(t -> t <= now - settings.rules().loadWindow());
    requestTimes.removeIf(t -> t <= now - settings.rules().loadWindow());
    double limit =
        settings.rules().freeLoads() + settings.rules().loadsPerCall() * requestTimes.size();
    assertTrue(loadOrderTimes.size() <= limit, "load ration exceeded");
  }
}
