package gorseladder;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Action;
import gorseladder.RouterApi.Answer;
import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.Request;
import gorseladder.RouterApi.Send;
import gorseladder.RouterApi.TimerDue;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.order.SharedOrder;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.IntFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the router with very large fleets; work and state are counted, not timed. */
class LargeFleetTest {
  private static final long MILLISECOND = 1_000;
  private static final long SECOND = 1_000 * MILLISECOND;
  private static final long DEADLINE = 3 * SECOND;
  private static final int ZONES = 19;
  private static final int CELLS = 64;
  /** The last place that 16 bits can hold. */
  private static final int LAST_OF_16_BITS = 65_535;
  /** Workers that a call may examine, {@code Router.MAX_CANDIDATES}. */
  private static final int MAX_CANDIDATES = 256;

  private final Router router = new Router(TestSites.settings(true, false), 1);
  private final Map<Long, String> functions = new HashMap<>();
  private long now = 100 * SECOND;
  private long lastCall;

  private static String name(int worker) {
    return "worker" + worker;
  }

  private static int number(String worker) {
    return Integer.parseInt(worker.substring("worker".length()));
  }

  private static WorkerEntry entry(int worker, Phase phase, double weight, long startedAt) {
    return new WorkerEntry(
        name(worker), "zone" + worker % ZONES, worker / ZONES % CELLS, phase, weight, startedAt);
  }

  private static WorkerEntry running(int worker) {
    return entry(worker, Phase.RUNNING, 1, 0);
  }

  private static WorkerEntry gone(int worker) {
    return entry(worker, Phase.GONE, 1, 0);
  }

  private static List<WorkerEntry> fleet(int count, IntFunction<WorkerEntry> entry) {
    return IntStream.range(0, count).mapToObj(entry).toList();
  }

  private void tell(Router to, ListKind kind, List<WorkerEntry> entries) {
    to.on(now, new WorkerListUpdate(kind, entries), action -> {});
  }

  private void tell(List<WorkerEntry> fleet) {
    tell(router, ListKind.FULL, fleet);
  }

  /** Makes a call; returns the worker that it was sent to, or null if it waits. */
  private String call(Router to, String requestClass, String function) {
    lastCall++;
    functions.put(lastCall, function);
    List<Action> actions = new ArrayList<>();
    to.on(
        now,
        new Request(lastCall, requestClass, "", function, DEADLINE, 0, 100, 1, 0, false),
        actions::add);
    return sentTo(actions);
  }

  private String call(String function) {
    return call(router, "safe", function);
  }

  private static String sentTo(List<Action> actions) {
    return actions.stream()
        .filter(action -> action instanceof Send)
        .map(action -> ((Send) action).worker())
        .findFirst()
        .orElse(null);
  }

  /** Ends an attempt; returns the worker that the call was then sent to, or null if there is none. */
  private String answer(long id, int attempt, String worker, Outcome outcome) {
    List<Action> actions = new ArrayList<>();
    boolean served = outcome == Outcome.OK;
    router.on(
        now,
        new Answer(
            id,
            attempt,
            worker,
            outcome,
            served,
            20 * MILLISECOND,
            served ? CopyStatus.WARM : CopyStatus.NONE,
            served ? 0 : -1,
            Map.of()),
        actions::add);
    return sentTo(actions);
  }

  /** Makes a call that is served; returns its worker. */
  private String served(String function) {
    String worker = call(function);
    if (worker != null) {
      answer(lastCall, 0, worker, Outcome.OK);
    }
    return worker;
  }

  /**
   * A shared order with 16-bit places never reaches the 64 percent of this fleet behind place 65,535 (0 of 40 calls
   * before the fix).
   */
  @Test
  void callsReachWorkersPastThe16BitPlaces() {
    tell(fleet(180_000, LargeFleetTest::running));
    int calls = 400;
    int reached = 0;
    for (int call = 0; call < calls; call++) {
      reached += number(call("function" + call)) > LAST_OF_16_BITS ? 1 : 0;
    }
    assertTrue(reached * 2 > calls, reached + " of " + calls + " past place " + LAST_OF_16_BITS);
  }

  /** Workers examined by calls of new functions, then of known ones. */
  private static long[] examinedByCalls(int workers) {
    LargeFleetTest fleet = new LargeFleetTest();
    fleet.tell(fleet(workers, LargeFleetTest::running));
    long before = fleet.router.workersExamined();
    for (int call = 0; call < 200; call++) {
      fleet.served("function" + call);
    }
    long between = fleet.router.workersExamined();
    for (int call = 0; call < 200; call++) {
      fleet.served("function" + call);
    }
    return new long[] {between - before, fleet.router.workersExamined() - between};
  }

  /** Without the index a call of a new function examines three times the fleet, and the next call twice the fleet. */
  @Test
  void aCallLooksAtAsManyWorkersInAnyFleet() {
    long[] small = examinedByCalls(240);
    long[] large = examinedByCalls(24_000);
    for (int i = 0; i < small.length; i++) {
      assertTrue(large[i] <= 2 * small[i], "at 240: " + small[i] + ", at 24,000: " + large[i]);
    }
    assertTrue(small[1] <= 200 * 4, "known functions: " + small[1] + " for 200 calls");
  }

  private static long examinedByChange(int workers, List<WorkerEntry> change) {
    LargeFleetTest fleet = new LargeFleetTest();
    fleet.tell(fleet(workers, LargeFleetTest::running));
    long before = fleet.router.workersExamined();
    fleet.tell(fleet.router, ListKind.DELTA, change);
    return fleet.router.workersExamined() - before;
  }

  /** Without running totals a change of one worker examines the whole list. */
  @Test
  void aChangeTouchesWhatBelongsToItInAnyFleet() {
    long small = examinedByChange(240, List.of(gone(3)));
    long large = examinedByChange(24_000, List.of(gone(3)));
    assertTrue(large <= 2 * small, "at 240: " + small + ", at 24,000: " + large);
    long many = examinedByChange(24_000, fleet(10_000, LargeFleetTest::gone));
    assertTrue(many <= 2 * 10_000 * small, "one: " + small + ", ten thousand: " + many);
  }

  /** The state of a function does not depend on the size of the fleet. */
  @Test
  void theStateOfAFunctionDoesNotGrowWithTheFleet() {
    for (int workers : new int[] {240, 24_000}) {
      LargeFleetTest fleet = new LargeFleetTest();
      fleet.tell(fleet(workers, LargeFleetTest::running));
      for (int call = 0; call < 500; call++) {
        fleet.served("function" + call);
      }
      long entries = fleet.router.functionEntries();
      assertTrue(entries <= 500 * 12, entries + " entries for 500 functions at " + workers);
    }
  }

  @Test
  void theSameListAgainChangesNothing() {
    List<WorkerEntry> list = fleet(5_000, LargeFleetTest::running);
    tell(list);
    String before = served("function");
    long examined = router.workersExamined();
    tell(list);
    assertTrue(router.workersExamined() - examined <= 2 * 5_000);
    examined = router.workersExamined();
    assertEquals(before, served("function"));
    assertTrue(router.workersExamined() - examined <= 4, "the candidates were fetched anew");
  }

  /** A function that needs 500 workers uses them, at a bounded cost per call, beside idle functions. */
  @Test
  void aHotFunctionUsesAWideHome() {
    tell(fleet(24_000, LargeFleetTest::running));
    for (int call = 0; call < 20_000; call++) {
      call("idle" + call % 5_000);
    }
    Set<String> used = new HashSet<>();
    for (int call = 0; call < 600; call++) {
      long before = router.workersExamined();
      String worker = call("hot");
      if (worker != null) {
        used.add(worker);
      }
      long examined = router.workersExamined() - before;
      assertTrue(examined <= 24_000, examined + " at call " + call);
    }
    long before = router.workersExamined();
    for (int call = 0; call < 400; call++) {
      now += MILLISECOND;
      String worker = call("hot");
      if (worker != null) {
        used.add(worker);
      }
    }
    assertTrue((router.workersExamined() - before) / 400 <= 3 * MAX_CANDIDATES);
    assertTrue(used.size() >= 300, used.size() + " workers used");
  }

  /** A zone of 9,474 workers leaves and returns cold within 5 s, as single updates or one list, during calls. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aZoneGoesAndComesBackCold(boolean singly) {
    int count = 180_000;
    tell(fleet(count, LargeFleetTest::running));
    List<Integer> zone =
        IntStream.range(0, count).filter(w -> w % ZONES == 3).boxed().toList();
    assertEquals(9_474, zone.size());
    long before = router.workersExamined();
    change(zone.stream().map(LargeFleetTest::gone).toList(), singly);
    for (int call = 0; call < 300; call++) {
      assertFalse(zone.contains(number(served("away" + call))));
    }
    now += 5 * SECOND;
    long startedAt = now;
    change(zone.stream().map(w -> entry(w, Phase.RUNNING, 1, startedAt)).toList(), singly);
    long examined = router.workersExamined() - before;
    int calls = singly ? 2 * zone.size() : 2;
    assertTrue(examined <= 8L * 2 * zone.size() + (calls + 300) * 400L, examined + " examined");
    now += 20 * SECOND;
    Set<String> used = new HashSet<>();
    for (int call = 0; call < 2_000; call++) {
      used.add(served("back" + call));
    }
    assertTrue(
        used.stream().anyMatch(worker -> zone.contains(number(worker))), "the zone is used again");
  }

  private void change(List<WorkerEntry> entries, boolean singly) {
    if (!singly) {
      tell(router, ListKind.DELTA, entries);
      return;
    }
    for (int i = 0; i < entries.size(); i++) {
      tell(router, ListKind.DELTA, List.of(entries.get(i)));
      if (i % 100 == 0) {
        served("meanwhile" + i);
      }
    }
  }

  @Test
  void halfOfTheCandidatesMayDrain() {
    tell(fleet(24_000, w -> entry(w, w % 2 == 0 ? Phase.DRAINING : Phase.RUNNING, 1, 0)));
    for (int call = 0; call < 500; call++) {
      assertEquals(1, number(served("function" + call)) % 2);
    }
    assertEquals(0, router.fallThroughs());
  }

  /** The workers in the shared order of a function. */
  private static List<Integer> order(String function, int count) {
    Map<Integer, Double> keys = new HashMap<>();
    for (int worker = 0; worker < count; worker++) {
      keys.put(worker, SharedOrder.key(function, name(worker), 1));
    }
    return keys.keySet().stream().sorted(Comparator.comparingDouble(keys::get)).toList();
  }

  /** If all candidates of a function drain, a call scans a part of the fleet, and the scan is counted. */
  @Test
  void aCallWhoseCandidatesAllDrainFallsThroughToTheFleet() {
    int count = 3_000;
    List<Integer> candidates = order("function", count).subList(0, 2 * MAX_CANDIDATES);
    Set<Integer> drained = new HashSet<>(candidates);
    tell(fleet(count, w -> entry(w, drained.contains(w) ? Phase.DRAINING : Phase.RUNNING, 1, 0)));
    long before = router.workersExamined();
    String worker = call("function");
    assertNotNull(worker);
    assertFalse(drained.contains(number(worker)));
    assertEquals(1, router.fallThroughs());
    long examined = router.workersExamined() - before;
    assertTrue(examined <= 16 * MAX_CANDIDATES, examined + " examined");
  }

  /** If most of the fleet is suspect, suspicion is ignored and calls go on. */
  @Test
  void mostOfTheFleetMayBeSuspect() {
    int count = 2_000;
    tell(fleet(count, LargeFleetTest::running));
    for (int call = 0; call < 6_000; call++) {
      String worker = call("function" + call);
      if (worker != null) {
        answer(lastCall, 0, worker, Outcome.RESET);
      }
    }
    int sent = 0;
    for (int call = 0; call < 200; call++) {
      sent += call("after" + call) == null ? 0 : 1;
    }
    assertTrue(sent > 150, sent + " of 200 calls were sent");
  }

  /** A keyed call outstanding at a worker, and the other workers of that worker's zone. */
  private record KeyedCall(long id, String worker, List<Integer> othersOfItsZone) {}

  private KeyedCall keyedCall(int workers) {
    tell(fleet(workers, LargeFleetTest::running));
    String worker = call(router, "keyed", "function");
    int zone = number(worker) % ZONES;
    List<Integer> others = IntStream.range(0, workers)
        .filter(other -> other % ZONES == zone && other != number(worker))
        .boxed()
        .toList();
    return new KeyedCall(lastCall, worker, others);
  }

  private void remove(List<Integer> workers) {
    tell(router, ListKind.DELTA, workers.stream().map(LargeFleetTest::gone).toList());
  }

  /** A keyed repeat stays in its zone: if no worker is left there it waits, at a bounded cost. */
  @Test
  void aKeyedRepeatWhoseZoneIsEmptyWaits() {
    KeyedCall call = keyedCall(5_700);
    remove(call.othersOfItsZone());
    tell(router, ListKind.DELTA, List.of(entry(number(call.worker()), Phase.DRAINING, 1, 0)));
    long before = router.workersExamined();
    assertNull(answer(call.id(), 0, call.worker(), Outcome.RESET));
    long examined = router.workersExamined() - before;
    assertTrue(examined <= 20 * MAX_CANDIDATES, examined + " examined");
    assertTrue(router.fallThroughs() > 0);
  }

  /** A keyed repeat finds the last worker of its zone, if not at once then in a later scan. */
  @Test
  void aKeyedRepeatFindsTheLastWorkerOfItsZone() {
    KeyedCall call = keyedCall(5_700);
    int last = call.othersOfItsZone().size() - 1;
    remove(call.othersOfItsZone().subList(0, last));
    String second = answer(call.id(), 0, call.worker(), Outcome.RESET);
    for (int look = 0; look < 60 && second == null; look++) {
      now += 25 * MILLISECOND;
      List<Action> actions = new ArrayList<>();
      router.on(now, new TimerDue("sweep"), actions::add);
      second = sentTo(actions);
    }
    assertEquals(name(call.othersOfItsZone().get(last)), second);
  }

  /** A dispatcher that knows only the list chooses the same first worker for a function as the others. */
  @Test
  void aDispatcherThatRestartsAgreesWithTheOthers() {
    List<WorkerEntry> list = new ArrayList<>(fleet(5_000, LargeFleetTest::running));
    tell(list);
    Collections.shuffle(list, new Random(5));
    Router restarted = new Router(TestSites.settings(true, false), 99);
    tell(restarted, ListKind.SAVED, list);
    for (int call = 0; call < 500; call++) {
      assertEquals(call("function" + call), call(restarted, "safe", "function" + call));
    }
  }

  /** If lists differ by d of W workers, at least 1 - 2d/W of the functions start at the same worker. */
  @Test
  void listsThatDifferByAThousandAgreeOnNearlyAllFunctions() {
    tell(fleet(24_000, LargeFleetTest::running));
    Router other = new Router(TestSites.settings(true, false), 2);
    tell(other, ListKind.SAVED, fleet(24_000, w -> running(w + 1_000)));
    int agree = 0;
    for (int call = 0; call < 1_000; call++) {
      agree += call("function" + call).equals(call(other, "safe", "function" + call)) ? 1 : 0;
    }
    assertTrue(agree >= 1_000 * (1 - 2 * 1_000 / 24_000.0 - 0.02), agree + " of 1,000 agree");
  }

  /** Two workers with equal 32-bit hashes both get calls. */
  @Test
  void workersOfOne32BitHashBothGetCalls() {
    assertEquals("Aa".hashCode(), "BB".hashCode());
    tell(List.of(TestSites.entry("Aa", Phase.RUNNING, 0), TestSites.entry("BB", Phase.RUNNING, 0)));
    Set<String> used = new HashSet<>();
    for (int call = 0; call < 50; call++) {
      used.add(call("function" + call));
    }
    assertEquals(Set.of("Aa", "BB"), used);
  }
}
