package gorseladder.structures;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TimerWheelTest {
  /** Compares with a map of due times: no timer is early, more than a tick late, lost or fired twice. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void agreesWithAPlainMap(long seed) {
    Random random = new Random(seed);
    long tick = 1 + random.nextInt(1000);
    long now = random.nextInt(1 << 30);
    TimerWheel<Integer> wheel = new TimerWheel<>(tick, now);
    Map<Integer, Long> expected = new HashMap<>();
    Map<Integer, TimerWheel.Node<Integer>> nodes = new HashMap<>();
    int ids = 0;
    for (int step = 0; step < 4000; step++) {
      long reach = 1L << random.nextInt(40);
      if (random.nextInt(3) > 0) {
        long at = now + (long) (random.nextDouble() * reach);
        expected.put(ids, at);
        nodes.put(ids, wheel.schedule(at, ids));
        ids++;
      }
      if (random.nextInt(4) == 0 && !expected.isEmpty()) {
        int victim = expected.keySet().iterator().next();
        assertTrue(wheel.cancel(nodes.get(victim)));
        assertFalse(wheel.cancel(nodes.get(victim)));
        expected.remove(victim);
      }
      if (random.nextInt(5) == 0) {
        long next = wheel.nextDue();
        now += random.nextBoolean() && next != Long.MAX_VALUE
            ? Math.max(0, next - now)
            : random.nextInt(1 << 20);
        long at = now;
        wheel.advance(now, id -> {
          Long due = expected.remove(id);
          assertTrue(due != null, "fired twice or after a cancel");
          assertTrue(due <= at, "early");
        });
        long latest = now - tick;
        assertTrue(
            expected.values().stream().allMatch(due -> due > latest),
            "a due timer was passed over");
      }
      assertEquals(expected.size(), wheel.size());
    }
  }

  @Test
  void nextDueIsNeverLate() {
    Random random = new Random(5);
    for (int round = 0; round < 500; round++) {
      long now = random.nextInt(1 << 20);
      TimerWheel<String> wheel = new TimerWheel<>(10, now);
      long at = now + 1 + (long) (random.nextDouble() * (1L << random.nextInt(35)));
      wheel.schedule(at, "x");
      List<String> fired = new ArrayList<>();
      int steps = 0;
      while (fired.isEmpty()) {
        long next = wheel.nextDue();
        assertTrue(next <= at + 10);
        wheel.advance(next, fired::add);
        assertTrue(steps++ < 20, "stuck");
      }
    }
  }

  /** A thread that sleeps until {@code nextDue} wakes up only for timers, not at slot boundaries. */
  @Test
  void nothingIsToDoBeforeTheNextTimer() {
    Random random = new Random(6);
    for (int round = 0; round < 200; round++) {
      long now = random.nextInt(1 << 30);
      TimerWheel<Integer> wheel = new TimerWheel<>(10, now);
      for (int i = 0; i < 20; i++) {
        wheel.schedule(now + (long) (random.nextDouble() * (1L << random.nextInt(40))), i);
      }
      for (long next = wheel.nextDue(); next != Long.MAX_VALUE; next = wheel.nextDue()) {
        assertTrue(wheel.advance(next, id -> {}) > 0, "woke for nothing");
      }
      assertEquals(0, wheel.size());
    }
  }

  @Test
  void aSinkMayScheduleAndWhatItSchedulesForThePastWaitsForTheNextCall() {
    TimerWheel<Integer> wheel = new TimerWheel<>(1, 0);
    wheel.schedule(5, 0);
    List<Integer> fired = new ArrayList<>();
    wheel.advance(10, n -> {
      fired.add(n);
      wheel.schedule(1, n + 1);
    });
    assertEquals(List.of(0), fired);
    wheel.advance(10, fired::add);
    assertEquals(List.of(0, 1), fired);
    assertEquals(Long.MAX_VALUE, wheel.nextDue());
  }

  @Test
  void impossibleSettingsAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> new TimerWheel<>(0, 0));
    assertThrows(IllegalArgumentException.class, () -> new TimerWheel<>(1, -1));
  }
}
