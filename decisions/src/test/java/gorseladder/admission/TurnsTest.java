package gorseladder.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;

class TurnsTest {
  @Test
  void theNewestGoesFirstAndNowAndThenTheOldest() {
    Turns<Integer> turns = new Turns<>(1);
    assertTrue(turns.tryStart(0));
    for (int i = 1; i <= 10; i++) {
      assertFalse(turns.tryStart(i));
    }
    StringBuilder order = new StringBuilder();
    for (Integer next = turns.finish(); next != null; next = turns.finish()) {
      order.append(next).append(' ');
    }
    assertEquals("10 9 8 7 6 5 4 1 3 2 ", order.toString());
    assertTrue(turns.tryStart(11));
    assertThrows(IllegalArgumentException.class, () -> new Turns<>(0));
  }

  /** Random starts and finishes: never more readers than the limit, and each waiting one is started exactly once. */
  @Test
  void neverMoreThanToldAndEachGetsItsTurn() {
    Random random = new Random(2);
    Turns<Integer> turns = new Turns<>(3);
    Set<Integer> running = new HashSet<>();
    int next = 0;
    int finished = 0;
    for (int step = 0; step < 50_000; step++) {
      if (random.nextInt(2) == 0 && step < 40_000) {
        if (turns.tryStart(next)) {
          assertTrue(running.add(next));
        }
        next++;
      } else if (!running.isEmpty()) {
        running.remove(running.iterator().next());
        finished++;
        Integer started = turns.finish();
        assertTrue(started == null || running.add(started));
      }
      assertTrue(running.size() <= 3);
      assertTrue(running.size() == 3 || turns.waiting() == 0);
    }
    while (!running.isEmpty()) {
      running.remove(running.iterator().next());
      finished++;
      Integer started = turns.finish();
      assertTrue(started == null || running.add(started));
    }
    assertEquals(next, finished);
    turns.tryStart(-1);
    assertNull(turns.finish());
  }
}
