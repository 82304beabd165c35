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
  private static final long SECOND = 1_000_000;
  private static final long KEEP = 10 * SECOND;
  private static final long LOAD = SECOND / 2;

  private final PlanExecutor ahead = new PlanExecutor(KEEP);
  private long now = 100 * SECOND;

  private Plan plan(long epoch, long version, Plan.Item... items) {
    return new Plan(epoch, version, now + 1_000 * SECOND, List.of(items));
  }

  private Plan.Item item(String worker, String function) {
    return new Plan.Item(worker, function, 1, 1, now, now + 60 * SECOND, LOAD, 400, true);
  }

  private List<PlannedLoad> due() {
    return ahead.due(now);
  }

  private void load(String worker, String function) {
    ahead.ordered(worker, function, now);
    now += LOAD;
    ahead.loaded(worker, function, Outcome.OK, LOAD, now);
  }

  @Test
  void plansAreTakenOnceNewestFirstAndNeverAbsurd() {
    assertEquals(Verdict.TAKEN, ahead.offer(plan(2, 5, item("w", "f")), now));
    assertEquals(Verdict.OLDER, ahead.offer(plan(2, 5), now));
    assertEquals(Verdict.OLDER, ahead.offer(plan(1, 9), now), "another planner that lost its turn");
    assertEquals(Verdict.EXPIRED, ahead.offer(new Plan(3, 1, now, List.of()), now));
    Plan.Item good = item("w", "f");
    for (Plan.Item bad : List.of(
        new Plan.Item("", "f", 1, 1, now, now + 1, 0, 1, true),
        new Plan.Item("w", "f", 65, 1, now, now + 1, 0, 1, true),
        new Plan.Item("w", "f", 1, 0, now, now + 1, 0, 1, true),
        new Plan.Item("w", "f", 1, 1, now, now, 0, 1, true),
        new Plan.Item("w", "f", 1, 1, now + 2_000 * SECOND, Long.MAX_VALUE, 0, 1, true),
        new Plan.Item("w", "f", 1, 1, now, now + 1, 0, Double.NaN, true))) {
      assertEquals(Verdict.ABSURD, ahead.offer(plan(3, 1, good, bad), now));
    }
    assertEquals(2, ahead.plan().epoch(), "the plan in hand stays");
    assertEquals(1, due().size());
  }

  @Test
  void copiesAreProposedInTheirTimeAFewAtOnceAndUntilOrdered() {
    List<Plan.Item> items = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      items.add(
          new Plan.Item("w" + i, "f", 1, 1, now + 5 * SECOND, now + 60 * SECOND, LOAD, 400, true));
    }
    ahead.offer(plan(1, 1, items.toArray(new Plan.Item[0])), now);
    assertEquals(List.of(), due(), "not yet");
    now += 5 * SECOND;
    assertTrue(due().size() < 10, "a plan is no burst");
    int ordered = 0;
    int looks = 0;
    for (; ordered < 10; looks++) {
      assertTrue(looks < 40);
      now += SECOND / 4;
      for (PlannedLoad h : due()) {
        ahead.ordered(h.worker(), h.function(), now);
        ordered++;
      }
    }
    now += 2 * SECOND;
    assertEquals(List.of(), due(), "each once");
    assertEquals(10, ahead.orderCount());
  }

  @Test
  void aCopyIsHeldThroughItsTimeUnlessCallsHoldIt() {
    ahead.offer(plan(1, 1, item("w", "f"), item("w", "g")), now);
    load("w", "f");
    load("w", "g");
    assertEquals(List.of(), due());
    now += 4 * SECOND;
    ahead.served("w", "g", CopyStatus.WARM, now);
    now += 3 * SECOND;
    assertEquals(
        List.of("f"),
        due().stream().map(PlannedLoad::function).toList(),
        "g was used a short while ago");
    load("w", "f");
    now += 7 * SECOND;
    assertEquals(2, due().size());
    load("w", "f");
    load("w", "g");
    ahead.served("w", "f", CopyStatus.WARM, now);
    now += 60 * SECOND;
    assertEquals(List.of(), due(), "the time of the holds is over");
    LoadAheadAccounting.Entry f = ahead.account().takeClosed().stream()
        .filter(e -> e.function().equals("f"))
        .findFirst()
        .orElseThrow();
    assertEquals(2, f.renewals());
    assertEquals(1, f.found());
    assertEquals(LOAD, f.savedMicros());
    // From the first order to the first call: five loads of half a second, and what passed
    // beside them.
    assertEquals(400 * 16.5, f.megabyteSeconds(), 0.1);
  }

  /**
   * A copy kept through a gap in which it would have aged out spares another load; what calls hold by themselves does
   * not count.
   */
  @Test
  void aGapThatACopyOutlivedIsCredited() {
    ahead.offer(plan(1, 1, item("w", "f")), now);
    load("w", "f");
    ahead.served("w", "f", CopyStatus.WARM, now);
    now += 9 * SECOND;
    ahead.served("w", "f", CopyStatus.WARM, now);
    for (int i = 0; i < 2; i++) {
      now += 8 * SECOND;
      assertEquals(1, due().size());
      load("w", "f");
    }
    ahead.served("w", "f", CopyStatus.WARM, now);
    now += 60 * SECOND;
    due();
    LoadAheadAccounting.Entry e = ahead.account().takeClosed().get(0);
    assertEquals(2, e.found());
    assertEquals(2 * LOAD, e.savedMicros());
    assertEquals(400 * (0.5 + 17 - 10), e.megabyteSeconds(), 0.1);
  }

  @Test
  void aFailedLoadIsNotAskedForAgainAndAnExpiredPlanIsOver() {
    ahead.offer(plan(1, 1, item("w", "f"), item("w", "g")), now);
    ahead.ordered("w", "f", now);
    ahead.loaded("w", "f", Outcome.FULL, LOAD, now);
    assertEquals(List.of("g"), due().stream().map(PlannedLoad::function).toList());
    ahead.offer(plan(1, 2, item("w", "f")), now);
    assertEquals(
        List.of("f"),
        due().stream().map(PlannedLoad::function).toList(),
        "a later plan may ask anew");
    now += 1_000 * SECOND;
    assertEquals(List.of(), due());
  }

  @Test
  void aNewerPlanKeepsWhatWasOrderedAlready() {
    ahead.offer(plan(1, 1, item("w", "f")), now);
    ahead.ordered("w", "f", now);
    ahead.offer(plan(1, 2, item("w", "f"), item("w", "g")), now);
    assertEquals(List.of("g"), due().stream().map(PlannedLoad::function).toList());
    now += LOAD;
    ahead.loaded("w", "f", Outcome.OK, LOAD, now);
    assertEquals(1, ahead.account().openCount());
  }

  /**
   * Saved: a load for the first call, what is left of it for the next, nothing for those that would have found it
   * anyway.
   */
  @Test
  void theAccountCountsStrictly() {
    ahead.offer(plan(1, 1, item("w", "f"), item("w", "wasted")), now);
    load("w", "f");
    load("w", "wasted");
    ahead.served("w", "f", CopyStatus.WARM, now);
    now += LOAD / 4;
    ahead.served("w", "f", CopyStatus.WARM, now);
    now += LOAD;
    ahead.served("w", "f", CopyStatus.WARM, now);
    now += 30 * SECOND;
    due();
    List<LoadAheadAccounting.Entry> all = ahead.account().takeClosed();
    assertEquals(2, all.size());
    LoadAheadAccounting.Entry used = all.get(0);
    assertEquals(2, used.found());
    assertEquals(LOAD + LOAD * 3 / 4, used.savedMicros());
    LoadAheadAccounting.Entry waste = all.get(1);
    assertEquals("wasted", waste.function());
    assertEquals(0, waste.found());
    assertEquals(0, waste.savedMicros());
    assertEquals(LOAD, waste.loadMicros());
    assertEquals(400 * (LOAD + KEEP) / 1e6, waste.megabyteSeconds(), 0.1);
    assertEquals(List.of(), ahead.account().takeClosed());
  }

  /** A call that must load what stood there before a copy came is charged to that copy. */
  @Test
  void whatALoadPushesOutIsCharged() {
    ahead.served("w", "victim", CopyStatus.WARM, now);
    now += SECOND;
    ahead.offer(plan(1, 1, item("w", "f")), now);
    load("w", "f");
    now += SECOND;
    ahead.served("w", "victim", CopyStatus.BEGAN, now);
    ahead.served("w", "stranger", CopyStatus.BEGAN, now);
    ahead.served("elsewhere", "victim", CopyStatus.BEGAN, now);
    now += 60 * SECOND;
    due();
    LoadAheadAccounting.Entry e = ahead.account().takeClosed().get(0);
    assertEquals(1, e.evictions());
    assertEquals(LOAD, e.evictedLoadMicros());
  }

  /** A copy that was gone when its call came saved nothing. */
  @Test
  void aCopyThatIsGoneWhenItsCallComesIsWaste() {
    ahead.offer(plan(1, 1, item("w", "f")), now);
    load("w", "f");
    ahead.served("w", "f", CopyStatus.BEGAN, now + SECOND);
    assertEquals(0, ahead.account().takeClosed().get(0).found());
  }

  /** Calls reach a copy by whichever dispatcher they came to: it tells the one that ordered it, once. */
  @Test
  void aCopyFoundByAnotherDispatcherIsCreditedAndNotHeldAnew() {
    PlanExecutor other = new PlanExecutor(KEEP);
    ahead.offer(plan(1, 1, item("w", "f")), now);
    other.offer(
        plan(1, 1, new Plan.Item("w", "f", 1, 1, now, now + 60 * SECOND, LOAD, 400, false)), now);
    assertEquals(List.of(), other.due(now), "not its order to give");
    load("w", "f");
    assertEquals(null, other.served("w", "g", CopyStatus.WARM, now));
    assertEquals(null, other.served("w", "f", CopyStatus.BEGAN, now));
    String told = other.served("w", "f", CopyStatus.WARM, now);
    assertEquals(null, other.served("w", "f", CopyStatus.WARM, now), "once in a while");
    ahead.peerMessage("sick w", now);
    ahead.peerMessage("found ", now);
    ahead.peerMessage("found w", now);
    ahead.peerMessage(told, now);
    now += 5 * SECOND;
    assertEquals(List.of(), due(), "used: calls hold it");
    now += 6 * KEEP;
    due();
    assertEquals(1, ahead.account().takeClosed().get(0).found());
  }

  /** Some that the router passes over (a drain, say) must not keep the others from their turn. */
  @Test
  void whatIsPassedOverDoesNotHoldUpTheRest() {
    List<Plan.Item> items = new ArrayList<>();
    for (int i = 0; i < 12; i++) {
      items.add(item("w" + i, "f"));
    }
    ahead.offer(plan(1, 1, items.toArray(new Plan.Item[0])), now);
    List<String> proposed = new ArrayList<>();
    for (int look = 0; look < 3; look++) {
      due().forEach(h -> proposed.add(h.worker()));
      now += SECOND / 4;
    }
    assertEquals(12, proposed.stream().distinct().count());
    now += SECOND;
    assertEquals("w0", due().get(0).worker(), "and it is asked again");
  }
}
