package gorseladder.scale;

import gorseladder.scale.proto.Sizes;
import gorseladder.scale.proto.Sweep;
import java.util.Map;

/**
 * The result of one cell of a scale run.
 *
 * @param kind hollow dispatchers or real processes
 * @param sweep the field that the cell's sweep changes
 * @param size value of that field
 * @param failure why the cell has no measures; null if it has
 */
public record CellResult(
    Kind kind,
    Sweep.Field sweep,
    double size,
    Sizes sizes,
    long seed,
    Map<Measure, Double> measures,
    String failure) {
  /** Whether the dispatchers of a cell are hollow or real processes. */
  public enum Kind {
    HOLLOW,
    REAL
  }
}
