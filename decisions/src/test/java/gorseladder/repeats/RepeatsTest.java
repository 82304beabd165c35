package gorseladder.repeats;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Group;
import gorseladder.RouterApi.RequestClass;
import gorseladder.repeats.Repeats.Action;
import gorseladder.repeats.Repeats.Decision;
import gorseladder.repeats.Repeats.Phase;
import gorseladder.repeats.Repeats.RecordedMessage;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class RepeatsTest {
  private static final long PATIENCE = 3;
  private static final long WINDOW = 8;

  private static RequestClass of(Effect effect, Group group) {
    return new RequestClass("c", effect, group, WINDOW, 1, PATIENCE, 1, 0.2, false);
  }

  private static Decision judge(Effect effect, Group group, RecordedMessage known, long now) {
    return Repeats.onDelivery(of(effect, group), false, known, now, PATIENCE);
  }

  @Test
  void replaysConflictsAndJoins() {
    RequestClass c = of(Effect.SAFE, Group.ALL);
    assertEquals(Action.REPLAYED, Repeats.onDelivery(c, true, null, 0, PATIENCE).action());
    assertEquals(Action.RUN, Repeats.onDelivery(c, false, null, 0, PATIENCE).action());
    assertEquals(
        Action.CONFLICT,
        judge(Effect.SAFE, Group.ALL, new RecordedMessage(Phase.SERVED, false, true, 0, false), 0)
            .action());
    assertEquals(
        Action.JOIN,
        judge(Effect.UNSAFE, Group.ALL, new RecordedMessage(Phase.LEAVING, true, true, 0, true), 0)
            .action());
    assertEquals(
        Action.RETURN_STORED_ANSWER,
        judge(Effect.UNSAFE, Group.ALL, new RecordedMessage(Phase.SERVED, false, true, 0, true), 0)
            .action());
  }

  @Test
  void aKeyedRepeatEndsWithinTheWindowOfItsFirstAttempt() {
    RecordedMessage closed = new RecordedMessage(Phase.CLOSED, false, true, 10, true);
    assertEquals(new Decision(Action.RUN, PATIENCE), judge(Effect.KEYED, Group.ALL, closed, 11));
    assertEquals(new Decision(Action.RUN, 2), judge(Effect.KEYED, Group.ALL, closed, 16));
    assertEquals(Action.MAY_HAVE_RUN, judge(Effect.KEYED, Group.ALL, closed, 18).action());
    assertEquals(
        Action.MAY_HAVE_RUN, judge(Effect.KEYED, Group.ZONE, closed, 11).action());
    assertEquals(
        Action.MAY_HAVE_RUN,
        judge(Effect.KEYED, Group.ALL, closed, 9).action(),
        "the clock went back");
    assertEquals(
        new Decision(Action.RUN, PATIENCE),
        judge(
            Effect.KEYED,
            Group.ZONE,
            new RecordedMessage(Phase.CLOSED, false, false, 0, true),
            11));
  }

  /** The life of one message: what the ledger has durably, whether this process holds it, and how often it ran. */
  private record TestFleet(
      Phase phase,
      boolean mayHaveRun,
      long leftAt,
      boolean live,
      boolean sent,
      int runs,
      long firstRun,
      long now,
      List<String> trace) {
    TestFleet step(
        String what,
        Phase p,
        boolean ran,
        long left,
        boolean alive,
        boolean out,
        int count,
        long first,
        long t) {
      List<String> longer = new ArrayList<>(trace);
      longer.add(what);
      return new TestFleet(p, ran, left, alive, out, count, first, t, longer);
    }

    String key() {
      return phase + " " + mayHaveRun + " " + leftAt + " " + live + " " + sent + " " + runs + " "
          + firstRun + " " + now;
    }
  }

  /**
   * Every order of deliveries, records, sends, runs, ends, kills and passing time, to the depth given: an unsafe
   * message never runs twice, a keyed one never outside its window, where workers drop repeats within it.
   */
  @ParameterizedTest
  @EnumSource(
      value = Effect.class,
      names = {"UNSAFE", "KEYED"})
  void noOrderOfEventsRunsAnEffectTwice(Effect effect) {
    ArrayDeque<TestFleet> open = new ArrayDeque<>();
    Set<String> seen = new HashSet<>();
    open.add(new TestFleet(null, false, 0, false, false, 0, 0, 1, List.of()));
    int states = 0;
    while (!open.isEmpty()) {
      TestFleet w = open.poll();
      if (w.trace().size() > 14 || w.now() > 14 || !seen.add(w.key())) {
        continue;
      }
      states++;
      assertTrue(w.runs() <= 1, w.trace().toString());
      open.addAll(next(effect, w));
    }
    assertTrue(states > 200, states + " states explored");
  }

  private static List<TestFleet> next(Effect effect, TestFleet w) {
    List<TestFleet> all = new ArrayList<>();
    long t = w.now();
    all.add(w.step(
        "time",
        w.phase(),
        w.mayHaveRun(),
        w.leftAt(),
        w.live(),
        w.sent(),
        w.runs(),
        w.firstRun(),
        t + 1));
    if (w.live()) {
      all.add(w.step(
          "kill",
          w.phase(),
          w.mayHaveRun(),
          w.leftAt(),
          false,
          w.sent(),
          w.runs(),
          w.firstRun(),
          t));
      if (!w.sent() && w.phase() == Phase.ACCEPTED) {
        long left = w.mayHaveRun() ? w.leftAt() : t;
        all.add(
            w.step("record", Phase.LEAVING, true, left, true, false, w.runs(), w.firstRun(), t));
        all.add(w.step(
            "refuse",
            Phase.CLOSED,
            w.mayHaveRun(),
            w.leftAt(),
            false,
            false,
            w.runs(),
            w.firstRun(),
            t));
      }
      if (w.phase() == Phase.LEAVING && !w.sent()) {
        all.add(w.step("send", w.phase(), true, w.leftAt(), true, true, w.runs(), w.firstRun(), t));
      }
      if (w.sent()) {
        all.add(
            w.step("fail", Phase.CLOSED, true, w.leftAt(), false, true, w.runs(), w.firstRun(), t));
        all.add(w.step(
            "serve", Phase.SERVED, true, w.leftAt(), false, false, ran(effect, w), first(w), t));
      }
    } else if (w.sent()) {
      all.add(w.step(
          "runs unseen",
          w.phase(),
          w.mayHaveRun(),
          w.leftAt(),
          false,
          false,
          ran(effect, w),
          first(w),
          t));
    }
    if (!w.live()) {
      RecordedMessage known = w.phase() == null
          ? null
          : new RecordedMessage(w.phase(), false, w.mayHaveRun(), w.leftAt(), true);
      Decision v = judge(effect, Group.ALL, known, t);
      if (v.action() == Action.RUN) {
        all.add(w.step(
            "deliver",
            Phase.ACCEPTED,
            w.mayHaveRun(),
            w.leftAt(),
            true,
            false,
            w.runs(),
            w.firstRun(),
            t));
      }
    }
    return all;
  }

  private static long first(TestFleet w) {
    return w.runs() == 0 ? w.now() : w.firstRun();
  }

  /** A worker of the group drops a repeat within the window of the first run. */
  private static int ran(Effect effect, TestFleet w) {
    boolean dropped = effect == Effect.KEYED && w.runs() > 0 && w.now() < w.firstRun() + WINDOW;
    return dropped ? w.runs() : w.runs() + 1;
  }
}
