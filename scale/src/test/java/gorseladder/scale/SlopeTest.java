package gorseladder.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.scale.Slope.Point;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Fitted lines, their intervals, and the range in which the values are linear. */
class SlopeTest {
  private static Slope fit(Point... points) {
    return Slope.fit(CellResult.Kind.HOLLOW, "WORKERS", Measure.CALL_MICROS, List.of(points));
  }

  @Test
  void aLineIsFoundWithItsInterval() {
    Slope slope = fit(new Point(10, 24), new Point(20, 46), new Point(40, 86), new Point(80, 164));
    assertEquals(2, slope.slope(), 0.1);
    assertEquals(5, slope.intercept(), 2);
    assertTrue(slope.halfWidth() > 0 && slope.halfWidth() < 0.3, "half " + slope.halfWidth());
    assertEquals(80, slope.linearUpTo());
  }

  @Test
  void aCurveIsStraightOnlySoFar() {
    Slope slope =
        fit(new Point(10, 10), new Point(20, 20), new Point(40, 40), new Point(160, 2560));
    assertEquals(40, slope.linearUpTo());
    assertTrue(slope.exponent() > 1.5);
  }

  @Test
  void aConstantHasNoWidth() {
    Slope slope = fit(new Point(1, 7), new Point(2, 7), new Point(4, 7));
    assertEquals(0, slope.slope(), 1e-12);
    assertEquals(0, slope.halfWidth());
    assertEquals(0, slope.exponent(), 1e-12);
  }

  @Test
  void twoSizesMakeNoSlope() {
    assertNull(fit(new Point(1, 1), new Point(1, 2), new Point(2, 2)));
  }
}
