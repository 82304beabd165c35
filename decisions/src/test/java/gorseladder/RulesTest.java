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

/** Arbitrary but legal outcomes, from a fixed seed; the five rules are asserted on every action. */
class RulesTest {
  private static final long MS = 1000;

  private record Due(long at, long order, Event event) implements Comparable<Due> {
    @Override
    public int compareTo(Due other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  private static final class Call {
    Request request;
    long deadline;
    boolean over;
    int finals;
    final List<Send> sends = new ArrayList<>();
    final List<Long> sentAt = new ArrayList<>();
    final List<Outcome> ends = new ArrayList<>();
  }

  private final Map<Long, Call> calls = new HashMap<>();
  private final PriorityQueue<Due> queue = new PriorityQueue<>();
  private final Set<String> stopped = new HashSet<>();
  private final Set<String> orders = new HashSet<>();
  private final ArrayDeque<Long> loads = new ArrayDeque<>();
  private final ArrayDeque<Long> taken = new ArrayDeque<>();
  private final ArrayDeque<Long> coldSends = new ArrayDeque<>();
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
    later(1, new WorkerListUpdate(ListKind.SAVED, list));
    later(
        6000 * MS,
        new WorkerListUpdate(ListKind.DELTA, List.of(TestSites.entry("a", Phase.DRAINING, 0))));
    later(
        9000 * MS,
        new WorkerListUpdate(ListKind.DELTA, List.of(TestSites.entry("b", Phase.GONE, 0))));
    for (long id = 1; id <= 1500; id++) {
      String kind = settings.classes().get(random.nextInt(3)).name();
      later(
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
      Due due = queue.poll();
      now = due.at();
      Event event = admit(due.event());
      if (event != null) {
        router.on(now, event, this::check);
      }
    }
    assertEquals(1500, calls.size());
    for (Call call : calls.values()) {
      assertEquals(1, call.finals, "final answers of " + call.request);
    }
  }

  private void later(long in, Event event) {
    queue.add(new Due(now + in, order++, event));
  }

  /** Brings the book of calls up to date with an event before the router hears it. */
  private Event admit(Event event) {
    if (event instanceof Request r) {
      Call call = new Call();
      call.request = r;
      call.deadline = now + r.timeLeft();
      calls.put(r.id(), call);
      taken.addLast(now);
    } else if (event instanceof WorkerListUpdate w) {
      w.entries().stream()
          .filter(e -> e.phase() != Phase.RUNNING)
          .forEach(e -> stopped.add(e.worker()));
    } else if (event instanceof Loaded l) {
      orders.remove(l.worker() + " " + l.function());
    } else if (event instanceof Answer a) {
      Call call = calls.get(a.id());
      call.ends.set(a.attempt(), a.outcome());
      if (a.outcome() == Outcome.OK && !call.over) {
        call.over = true;
        call.finals++;
      }
      return new Answer(
          a.id(),
          a.attempt(),
          a.worker(),
          a.outcome(),
          call.over,
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
      end(calls.get(f.id()));
    } else if (action instanceof Refuse r) {
      Call call = calls.get(r.id());
      boolean ran = call.ends.stream().anyMatch(o -> o == null || !o.neverRan);
      assertTrue(call.request.requestClass().equals("safe") || !ran, "refused what may have run");
      end(call);
    } else if (action instanceof SetTimer t) {
      later(Math.max(1, t.delay()), new TimerDue(t.token()));
    }
  }

  private void end(Call call) {
    assertTrue(!call.over, "a second final answer");
    assertTrue(now <= call.deadline + 8 * MS, "a late final answer");
    call.over = true;
    call.finals++;
  }

  private void checkSend(Send s) {
    Call call = calls.get(s.id());
    assertTrue(!call.over, "sent after the end");
    assertTrue(!stopped.contains(s.worker()), "sent to a stopped worker");
    assertTrue(call.sends.size() < settings.limits().maxAttempts(), "too many attempts");
    boolean anyOut = call.ends.stream().anyMatch(o -> o == null);
    assertTrue(!anyOut || settings.limits().duplicates(), "two attempts out");
    for (int i = 0; i < call.sends.size(); i++) {
      boolean ran = call.ends.get(i) == null || !call.ends.get(i).neverRan;
      assertTrue(!ran || !call.request.requestClass().equals("unsafe"), "an unsafe call repeated");
      boolean inWindow = now - call.sentAt.get(i) <= 2000 * MS;
      assertTrue(
          !ran || !call.request.requestClass().equals("keyed") || inWindow, "a key forgotten");
    }
    if (s.worker().equals("cold")) {
      checkCold();
    }
    int number = call.sends.size();
    call.sends.add(s);
    call.sentAt.add(now);
    call.ends.add(null);
    long in = 1 + random.nextInt(600) * MS;
    Outcome outcome = Outcome.values()[random.nextInt(Outcome.values().length)];
    if (random.nextInt(3) > 0) {
      outcome = Outcome.OK;
    }
    if (outcome == Outcome.TIMEOUT || now + in > call.deadline) {
      in = call.deadline - now + 2 * MS;
      outcome = Outcome.TIMEOUT;
    }
    CopyStatus note = CopyStatus.values()[random.nextInt(CopyStatus.values().length)];
    later(
        in,
        new Answer(
            s.id(), number, s.worker(), outcome, false, in, note, random.nextInt(4), Map.of()));
  }

  private void checkCold() {
    coldSends.addLast(now);
    coldSends.removeIf(t -> t <= now - settings.rules().overloadWindow());
    double ramp = settings.rules().initialCapacity()
        + (1 - settings.rules().initialCapacity()) * now / settings.rules().rampDuration();
    double fair = 1500 / 15.0 / 5 * settings.rules().overloadWindow() / 1e6;
    double budget = Math.min(1, ramp) * settings.rules().overloadMultiple() * fair;
    assertTrue(coldSends.size() <= Math.max(1, budget), "cold worker pushed: " + coldSends.size());
  }

  private void checkLoad(Load l) {
    assertTrue(orders.add(l.worker() + " " + l.function()), "two orders outstanding");
    Outcome[] ends = {
      Outcome.OK, Outcome.OK, Outcome.FULL, Outcome.ERROR, Outcome.RESET, Outcome.TIMEOUT
    };
    Outcome outcome = l.copies() == 0 ? Outcome.OK : ends[random.nextInt(ends.length)];
    int stand = outcome == Outcome.OK ? l.copies() : 0;
    long in = 1 + random.nextInt(l.copies() == 0 ? 5 : 900) * MS;
    later(in, new Loaded(l.worker(), l.function(), stand, outcome, in));
    if (l.copies() == 0) {
      return;
    }
    assertTrue(!stopped.contains(l.worker()), "ordered at a stopped worker");
    loads.addLast(now);
    loads.removeIf(t -> t <= now - settings.rules().loadWindow());
    taken.removeIf(t -> t <= now - settings.rules().loadWindow());
    double most = settings.rules().freeLoads() + settings.rules().loadsPerCall() * taken.size();
    assertTrue(loads.size() <= most, "load ration passed");
  }
}
