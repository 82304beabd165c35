package gorseladder.structures;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DigestTableTest {
  /** Compares with a map. The halves take few values, so that slots collide and digests share a half. */
  @Test
  void holdsWhatAMapHoldsWhereSlotsCollide() {
    Random random = new Random(4);
    DigestTable table = new DigestTable();
    Map<List<Long>, Integer> plain = new HashMap<>();
    for (int i = 0; i < 60_000; i++) {
      long a = random.nextInt(200) * 0x100000001L;
      long b = random.nextInt(200);
      int value = random.nextInt(Integer.MAX_VALUE);
      assertEquals(plain.put(List.of(a, b), value) == null, table.put(a, b, value));
    }
    assertEquals(plain.size(), table.size());
    for (long a = 0; a < 210; a++) {
      for (long b = 0; b < 210; b++) {
        assertEquals(
            plain.getOrDefault(List.of(a * 0x100000001L, b), -1), table.get(a * 0x100000001L, b));
      }
    }
    assertThrows(IllegalArgumentException.class, () -> table.put(1, 1, -1));
  }
}
