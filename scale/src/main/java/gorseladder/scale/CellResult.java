package gorseladder.scale;

import gorseladder.scale.proto.Sizes;
import gorseladder.scale.proto.Sweep;
import java.util.Map;

/**
 * What one cell measured.
 *
 * @param kind hollow dispatchers or real processes
 * @param sweep the field that the cell's sweep changes
 * @param size that field's value here
 * @param failure what kept the cell from its measures; null where nothing did
 */
public record CellResult(
    Kind kind,
    Sweep.Field sweep,
    double size,
    Sizes sizes,
    long seed,
    Map<Measure, Double> measures,
    String failure) {
  /** Whether the dispatchers of a cell are hollow or processes. */
  public enum Kind {
    HOLLOW,
    REAL
  }
}
