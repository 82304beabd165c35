package gorseladder.follow;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class FollowPaceTest {
  /** Followers that lose their connections together must not reconnect at the same moment. */
  @Test
  void pausesGrowToABoundAndSpreadOverFollowers() {
    List<FollowPace> all = IntStream.range(0, 200).mapToObj(FollowPace::new).toList();
    for (int round = 0; round < 8; round++) {
      long[] pauses = all.stream().mapToLong(p -> p.pause(false)).sorted().toArray();
      assertTrue(pauses[199] <= 375_000 && pauses[0] >= 10_000, pauses[0] + " to " + pauses[199]);
      assertTrue(pauses[150] - pauses[50] > pauses[100] / 4, "not spread in round " + round);
    }
    assertTrue(all.get(0).pause(true) <= 30_000);
  }
}
