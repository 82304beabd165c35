package gorseladder.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.scale.proto.Sizes;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Hollow dispatchers handle lists, calls and changes and measure their cost. */
class HollowCellTest {
  private static final Sizes SIZES = Sizes.newBuilder()
      .setWorkers(57)
      .setDispatchers(3)
      .setFunctions(100)
      .setCalls(300)
      .setChangesPerSecond(10)
      .build();

  @Test
  void everyMeasureOfAHollowCellIsThere() {
    Map<Measure, Double> measures = new HollowCell(SIZES, 20, 1).run();
    assertEquals(Measure.START_SECONDS.ordinal(), measures.size(), measures::toString);
    assertTrue(measures.get(Measure.CALL_MICROS) > 0);
    assertTrue(measures.get(Measure.EXAMINED_A_CALL) >= 1);
    assertTrue(measures.get(Measure.FIRST_PLACE_PEAK) >= 1);
    double lineBytes = 130;
    assertEquals(10 * lineBytes, measures.get(Measure.CONTROL_BYTES_PER_SECOND), 10 * lineBytes);
  }

  @Test
  void countsDoNotDependOnTheMachine() {
    Map<Measure, Double> once = new HollowCell(SIZES, 20, 7).run();
    Map<Measure, Double> again = new HollowCell(SIZES, 20, 7).run();
    for (Measure measure : new Measure[] {
      Measure.EXAMINED_A_CALL,
      Measure.EXAMINED_A_CHANGE,
      Measure.CONTROL_BYTES_PER_SECOND,
      Measure.FIRST_PLACE_PEAK
    }) {
      assertEquals(once.get(measure), again.get(measure), measure.title());
    }
  }
}
