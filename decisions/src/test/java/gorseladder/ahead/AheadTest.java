package gorseladder.ahead;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.CopyStatus;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.PlannedLoad;
import gorseladder.ahead.PlanExecutor.Verdict;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class AheadTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long KEEP_ALIVE_MICROS = 10 * SECOND_MICROS;
  private static final long LOAD_MICROS = SECOND_MICROS / 2;

  private final PlanExecutor executor = new PlanExecutor(KEEP_ALIVE_MICROS);
  private long now = 100 * SECOND_MICROS;

  private Plan plan(long epoch, long version, Plan.Item... items) {
    return new Plan(epoch, version, now + 1_000 * SECOND_MICROS, List.of(items));
  }

  private Plan.Item item(String worker, String function) {
    return new Plan.Item(
        worker, function, 1, 1, now, now + 60 * SECOND_MICROS, LOAD_MICROS, 400, true);
  }

  private List<PlannedLoad> due() {
    return executor.due(now);
  }

  private void load(String worker, String function) {
    executor.ordered(worker, function, now);
    now += LOAD_MICROS;
    executor.loaded(worker, function, Outcome.OK, LOAD_MICROS, now);
  }

  @Test
  void plansAreTakenOnceNewestFirstAndNeverAbsurd() {
    assertEquals(Verdict.TAKEN, executor.offer(plan(2, 5, item("w", "f")), now));
    assertEquals(Verdict.OLDER, executor.offer(plan(2, 5), now));
    assertEquals(Verdict.OLDER, executor.offer(plan(1, 9), now), "a planner of an earlier epoch");
    assertEquals(Verdict.EXPIRED, executor.offer(new Plan(3, 1, now, List.of()), now));
    Plan.Item good = item("w", "f");
    for (Plan.Item bad : List.of(
        new Plan.Item("", "f", 1, 1, now, now + 1, 0, 1, true),
        new Plan.Item("w", "f", 65, 1, now, now + 1, 0, 1, true),
        new Plan.Item("w", "f", 1, 0, now, now + 1, 0, 1, true),
        new Plan.Item("w", "f", 1, 1, now, now, 0, 1, true),
        new Plan.Item("w", "f", 1, 1, now + 2_000 * SECOND_MICROS, Long.MAX_VALUE, 0, 1, true),
        new Plan.Item("w", "f", 1, 1, now, now + 1, 0, Double.NaN, true))) {
      assertEquals(Verdict.ABSURD, executor.offer(plan(3, 1, good, bad), now));
    }
    assertEquals(2, executor.plan().epoch(), "the current plan stays");
    assertEquals(1, due().size());
  }

  @Test
  void copiesAreProposedInTheirTimeAFewAtOnceAndUntilOrdered() {
    List<Plan.Item> items = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      items.add(new Plan.Item(
          "w" + i,
          "f",
          1,
          1,
          now + 5 * SECOND_MICROS,
          now + 60 * SECOND_MICROS,
          LOAD_MICROS,
          400,
          true));
    }
    executor.offer(plan(1, 1, items.toArray(new Plan.Item[0])), now);
    assertEquals(List.of(), due(), "not yet");
    now += 5 * SECOND_MICROS;
    assertTrue(due().size() < 10, "a plan must not cause a burst");
    int ordered = 0;
    int rounds = 0;
    for (; ordered < 10; rounds++) {
      assertTrue(rounds < 40);
      now += SECOND_MICROS / 4;
      for (PlannedLoad planned : due()) {
        executor.ordered(planned.worker(), planned.function(), now);
        ordered++;
      }
    }
    now += 2 * SECOND_MICROS;
    assertEquals(List.of(), due(), "each is ordered once");
    assertEquals(10, executor.orderCount());
  }

  @Test
  void aCopyIsHeldThroughItsTimeUnlessCallsHoldIt() {
    executor.offer(plan(1, 1, item("w", "f"), item("w", "g")), now);
    load("w", "f");
    load("w", "g");
    assertEquals(List.of(), due());
    now += 4 * SECOND_MICROS;
    executor.served("w", "g", CopyStatus.WARM, now);
    now += 3 * SECOND_MICROS;
    assertEquals(
        List.of("f"),
        due().stream().map(PlannedLoad::function).toList(),
        "g was used a short while ago");
    load("w", "f");
    now += 7 * SECOND_MICROS;
    assertEquals(2, due().size());
    load("w", "f");
    load("w", "g");
    executor.served("w", "f", CopyStatus.WARM, now);
    now += 60 * SECOND_MICROS;
    assertEquals(List.of(), due(), "the holds have ended");
    LoadAheadAccounting.Entry f = executor.account().takeClosed().stream()
        .filter(e -> e.function().equals("f"))
        .findFirst()
        .orElseThrow();
    assertEquals(2, f.renewals());
    assertEquals(1, f.found());
    assertEquals(LOAD_MICROS, f.savedMicros());
    // From the first order to the first call: five loads of half a second each and the 14 seconds
    // between them.
    assertEquals(400 * 16.5, f.megabyteSeconds(), 0.1);
  }

  /**
   * A copy held through a gap in which it would have aged out saves another load; time in which calls keep the copy
   * loaded does not count.
   */
  @Test
  void aGapThatACopyOutlivedIsCredited() {
    executor.offer(plan(1, 1, item("w", "f")), now);
    load("w", "f");
    executor.served("w", "f", CopyStatus.WARM, now);
    now += 9 * SECOND_MICROS;
    executor.served("w", "f", CopyStatus.WARM, now);
    for (int i = 0; i < 2; i++) {
      now += 8 * SECOND_MICROS;
      assertEquals(1, due().size());
      load("w", "f");
    }
    executor.served("w", "f", CopyStatus.WARM, now);
    now += 60 * SECOND_MICROS;
    due();
    LoadAheadAccounting.Entry e = executor.account().takeClosed().get(0);
    assertEquals(2, e.found());
    assertEquals(2 * LOAD_MICROS, e.savedMicros());
    assertEquals(400 * (0.5 + 17 - 10), e.megabyteSeconds(), 0.1);
  }

  @Test
  void aFailedLoadIsNotAskedForAgainAndAnExpiredPlanIsOver() {
    executor.offer(plan(1, 1, item("w", "f"), item("w", "g")), now);
    executor.ordered("w", "f", now);
    executor.loaded("w", "f", Outcome.FULL, LOAD_MICROS, now);
    assertEquals(List.of("g"), due().stream().map(PlannedLoad::function).toList());
    executor.offer(plan(1, 2, item("w", "f")), now);
    assertEquals(
        List.of("f"),
        due().stream().map(PlannedLoad::function).toList(),
        "a later plan may propose it again");
    now += 1_000 * SECOND_MICROS;
    assertEquals(List.of(), due());
  }

  @Test
  void aNewerPlanKeepsWhatWasOrderedAlready() {
    executor.offer(plan(1, 1, item("w", "f")), now);
    executor.ordered("w", "f", now);
    executor.offer(plan(1, 2, item("w", "f"), item("w", "g")), now);
    assertEquals(List.of("g"), due().stream().map(PlannedLoad::function).toList());
    now += LOAD_MICROS;
    executor.loaded("w", "f", Outcome.OK, LOAD_MICROS, now);
    assertEquals(1, executor.account().openCount());
  }

  /**
   * The first call saves a whole load, the next one the rest of it, and calls that would have found the copy anyway
   * save nothing.
   */
  @Test
  void theAccountCountsStrictly() {
    executor.offer(plan(1, 1, item("w", "f"), item("w", "wasted")), now);
    load("w", "f");
    load("w", "wasted");
    executor.served("w", "f", CopyStatus.WARM, now);
    now += LOAD_MICROS / 4;
    executor.served("w", "f", CopyStatus.WARM, now);
    now += LOAD_MICROS;
    executor.served("w", "f", CopyStatus.WARM, now);
    now += 30 * SECOND_MICROS;
    due();
    List<LoadAheadAccounting.Entry> all = executor.account().takeClosed();
    assertEquals(2, all.size());
    LoadAheadAccounting.Entry usedEntry = all.get(0);
    assertEquals(2, usedEntry.found());
    assertEquals(LOAD_MICROS + LOAD_MICROS * 3 / 4, usedEntry.savedMicros());
    LoadAheadAccounting.Entry unused = all.get(1);
    assertEquals("wasted", unused.function());
    assertEquals(0, unused.found());
    assertEquals(0, unused.savedMicros());
    assertEquals(LOAD_MICROS, unused.loadMicros());
    assertEquals(400 * (LOAD_MICROS + KEEP_ALIVE_MICROS) / 1e6, unused.megabyteSeconds(), 0.1);
    assertEquals(List.of(), executor.account().takeClosed());
  }

  /** A call that has to reload a function evicted by a copy is charged to that copy. */
  @Test
  void whatALoadPushesOutIsCharged() {
    executor.served("w", "victim", CopyStatus.WARM, now);
    now += SECOND_MICROS;
    executor.offer(plan(1, 1, item("w", "f")), now);
    load("w", "f");
    now += SECOND_MICROS;
    executor.served("w", "victim", CopyStatus.BEGAN, now);
    executor.served("w", "stranger", CopyStatus.BEGAN, now);
    executor.served("elsewhere", "victim", CopyStatus.BEGAN, now);
    now += 60 * SECOND_MICROS;
    due();
    LoadAheadAccounting.Entry e = executor.account().takeClosed().get(0);
    assertEquals(1, e.evictions());
    assertEquals(LOAD_MICROS, e.evictedLoadMicros());
  }

  /** A copy that is no longer loaded when its call comes saves nothing. */
  @Test
  void aCopyThatIsGoneWhenItsCallComesIsWaste() {
    executor.offer(plan(1, 1, item("w", "f")), now);
    load("w", "f");
    executor.served("w", "f", CopyStatus.BEGAN, now + SECOND_MICROS);
    assertEquals(0, executor.account().takeClosed().get(0).found());
  }

  /** A dispatcher whose call finds a copy ordered by another one notifies that dispatcher, once in a while. */
  @Test
  void aCopyFoundByAnotherDispatcherIsCreditedAndNotHeldAnew() {
    PlanExecutor otherExecutor = new PlanExecutor(KEEP_ALIVE_MICROS);
    executor.offer(plan(1, 1, item("w", "f")), now);
    otherExecutor.offer(
        plan(
            1,
            1,
            new Plan.Item("w", "f", 1, 1, now, now + 60 * SECOND_MICROS, LOAD_MICROS, 400, false)),
        now);
    assertEquals(List.of(), otherExecutor.due(now), "the other dispatcher owns the item");
    load("w", "f");
    assertEquals(null, otherExecutor.served("w", "g", CopyStatus.WARM, now));
    assertEquals(null, otherExecutor.served("w", "f", CopyStatus.BEGAN, now));
    String message = otherExecutor.served("w", "f", CopyStatus.WARM, now);
    assertEquals(null, otherExecutor.served("w", "f", CopyStatus.WARM, now), "not again so soon");
    executor.peerMessage("sick w", now);
    executor.peerMessage("found ", now);
    executor.peerMessage("found w", now);
    executor.peerMessage(message, now);
    now += 5 * SECOND_MICROS;
    assertEquals(List.of(), due(), "used, so calls keep it loaded");
    now += 6 * KEEP_ALIVE_MICROS;
    due();
    assertEquals(1, executor.account().takeClosed().get(0).found());
  }

  /** Holds that the router skips, as on a draining worker, must not keep other holds from being proposed. */
  @Test
  void whatIsPassedOverDoesNotHoldUpTheRest() {
    List<Plan.Item> items = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      items.add(item("w" + i, "f"));
    }
    executor.offer(plan(1, 1, items.toArray(new Plan.Item[0])), now);
    List<String> proposed = new ArrayList<>();
    for (int round = 0; round < 3; round++) {
      due().forEach(planned -> proposed.add(planned.worker()));
      now += SECOND_MICROS / 4;
    }
    assertEquals(12, proposed.stream().distinct().count());
    now += SECOND_MICROS;
    assertEquals("w0", due().get(0).worker(), "proposed again after a while");
  }
}
