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

  private static RequestClass requestClass(Effect effect, Group group) {
    return new RequestClass("c", effect, group, WINDOW, 1, PATIENCE, 1, 0.2, false);
  }

  private static Decision decide(Effect effect, Group group, RecordedMessage known, long now) {
    return Repeats.onDelivery(requestClass(effect, group), false, known, now, PATIENCE);
  }

  @Test
  void replaysConflictsAndJoins() {
    RequestClass c = requestClass(Effect.SAFE, Group.ALL);
    assertEquals(Action.REPLAYED, Repeats.onDelivery(c, true, null, 0, PATIENCE).action());
    assertEquals(Action.RUN, Repeats.onDelivery(c, false, null, 0, PATIENCE).action());
    assertEquals(
        Action.CONFLICT,
        decide(Effect.SAFE, Group.ALL, new RecordedMessage(Phase.SERVED, false, true, 0, false), 0)
            .action());
    assertEquals(
        Action.JOIN,
        decide(Effect.UNSAFE, Group.ALL, new RecordedMessage(Phase.LEAVING, true, true, 0, true), 0)
            .action());
    assertEquals(
        Action.RETURN_STORED_ANSWER,
        decide(Effect.UNSAFE, Group.ALL, new RecordedMessage(Phase.SERVED, false, true, 0, true), 0)
            .action());
  }

  @Test
  void aKeyedRepeatEndsWithinTheWindowOfItsFirstAttempt() {
    RecordedMessage closed = new RecordedMessage(Phase.CLOSED, false, true, 10, true);
    assertEquals(new Decision(Action.RUN, PATIENCE), decide(Effect.KEYED, Group.ALL, closed, 11));
    assertEquals(new Decision(Action.RUN, 2), decide(Effect.KEYED, Group.ALL, closed, 16));
    assertEquals(
        Action.MAY_HAVE_RUN, decide(Effect.KEYED, Group.ALL, closed, 18).action());
    assertEquals(
        Action.MAY_HAVE_RUN, decide(Effect.KEYED, Group.ZONE, closed, 11).action());
    assertEquals(
        Action.MAY_HAVE_RUN,
        decide(Effect.KEYED, Group.ALL, closed, 9).action(),
        "the clock went backwards");
    assertEquals(
        new Decision(Action.RUN, PATIENCE),
        decide(
            Effect.KEYED,
            Group.ZONE,
            new RecordedMessage(Phase.CLOSED, false, false, 0, true),
            11));
  }

  /** State of one message: its durable record, whether this process holds the call, and how often it ran. */
  private record MessageState(
      Phase phase,
      boolean mayHaveRun,
      long leftAt,
      boolean inProgress,
      boolean sent,
      int runs,
      long firstRun,
      long now,
      List<String> trace) {
    MessageState step(
        String event,
        Phase newPhase,
        boolean newMayHaveRun,
        long newLeftAt,
        boolean newInProgress,
        boolean newSent,
        int newRuns,
        long newFirstRun,
        long newNow) {
      List<String> newTrace = new ArrayList<>(trace);
      newTrace.add(event);
      return new MessageState(
          newPhase,
          newMayHaveRun,
          newLeftAt,
          newInProgress,
          newSent,
          newRuns,
          newFirstRun,
          newNow,
          newTrace);
    }

    String key() {
      return phase + " " + mayHaveRun + " " + leftAt + " " + inProgress + " " + sent + " " + runs
          + " " + firstRun + " " + now;
    }
  }

  /**
   * Explores every sequence of deliveries, records, sends, runs, ends, kills and clock ticks up to a depth: an unsafe
   * message never runs twice, and a keyed one never outside the window within which workers drop repeats.
   */
  @ParameterizedTest
  @EnumSource(
      value = Effect.class,
      names = {"UNSAFE", "KEYED"})
  void noOrderOfEventsRunsAnEffectTwice(Effect effect) {
    ArrayDeque<MessageState> open = new ArrayDeque<>();
    Set<String> seen = new HashSet<>();
    open.add(new MessageState(null, false, 0, false, false, 0, 0, 1, List.of()));
    int states = 0;
    while (!open.isEmpty()) {
      MessageState state = open.poll();
      if (state.trace().size() > 14 || state.now() > 14 || !seen.add(state.key())) {
        continue;
      }
      states++;
      assertTrue(state.runs() <= 1, state.trace().toString());
      open.addAll(next(effect, state));
    }
    assertTrue(states > 200, states + " states explored");
  }

  private static List<MessageState> next(Effect effect, MessageState state) {
    List<MessageState> successors = new ArrayList<>();
    long t = state.now();
    successors.add(state.step(
        "time",
        state.phase(),
        state.mayHaveRun(),
        state.leftAt(),
        state.inProgress(),
        state.sent(),
        state.runs(),
        state.firstRun(),
        t + 1));
    if (state.inProgress()) {
      successors.add(state.step(
          "kill",
          state.phase(),
          state.mayHaveRun(),
          state.leftAt(),
          false,
          state.sent(),
          state.runs(),
          state.firstRun(),
          t));
      if (!state.sent() && state.phase() == Phase.ACCEPTED) {
        long left = state.mayHaveRun() ? state.leftAt() : t;
        successors.add(state.step(
            "record", Phase.LEAVING, true, left, true, false, state.runs(), state.firstRun(), t));
        successors.add(state.step(
            "refuse",
            Phase.CLOSED,
            state.mayHaveRun(),
            state.leftAt(),
            false,
            false,
            state.runs(),
            state.firstRun(),
            t));
      }
      if (state.phase() == Phase.LEAVING && !state.sent()) {
        successors.add(state.step(
            "send",
            state.phase(),
            true,
            state.leftAt(),
            true,
            true,
            state.runs(),
            state.firstRun(),
            t));
      }
      if (state.sent()) {
        successors.add(state.step(
            "fail",
            Phase.CLOSED,
            true,
            state.leftAt(),
            false,
            true,
            state.runs(),
            state.firstRun(),
            t));
        successors.add(state.step(
            "serve",
            Phase.SERVED,
            true,
            state.leftAt(),
            false,
            false,
            runsAfterNext(effect, state),
            firstRunAfterNext(state),
            t));
      }
    } else if (state.sent()) {
      successors.add(state.step(
          "runs unseen",
          state.phase(),
          state.mayHaveRun(),
          state.leftAt(),
          false,
          false,
          runsAfterNext(effect, state),
          firstRunAfterNext(state),
          t));
    }
    if (!state.inProgress()) {
      RecordedMessage known = state.phase() == null
          ? null
          : new RecordedMessage(state.phase(), false, state.mayHaveRun(), state.leftAt(), true);
      Decision decision = decide(effect, Group.ALL, known, t);
      if (decision.action() == Action.RUN) {
        successors.add(state.step(
            "deliver",
            Phase.ACCEPTED,
            state.mayHaveRun(),
            state.leftAt(),
            true,
            false,
            state.runs(),
            state.firstRun(),
            t));
      }
    }
    return successors;
  }

  private static long firstRunAfterNext(MessageState state) {
    return state.runs() == 0 ? state.now() : state.firstRun();
  }

  /** Number of runs after the next one; a worker drops a keyed repeat within the window of the first run. */
  private static int runsAfterNext(Effect effect, MessageState state) {
    boolean dropped =
        effect == Effect.KEYED && state.runs() > 0 && state.now() < state.firstRun() + WINDOW;
    return dropped ? state.runs() : state.runs() + 1;
  }
}
