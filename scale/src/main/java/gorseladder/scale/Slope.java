package gorseladder.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through what cells measured, by least squares.
 *
 * @param value at size 0
 * @param slope what one more of the size adds
 * @param half half the width of the slope's 95 % interval
 * @param exponent slope of the logarithms: 0 flat, 1 proportional; NaN where a value is not positive
 * @param from smallest and {@code to} largest size
 * @param straightTo largest size up to which the line from the sizes below misses by no more than {@link #STRAIGHT}
 */
public record Slope(
    CellResult.Kind kind,
    String sweep,
    Measure measure,
    double value,
    double slope,
    double half,
    double exponent,
    double from,
    double to,
    double straightTo,
    int cells) {
  /** A size counts as on the line where it is missed by no more than this part of it. */
  static final double STRAIGHT = 0.5;

  private static final int FEWEST = 3;

  /** One measured point. */
  record Point(double size, double value) {}

  /** Fits a line; null where there are fewer than three sizes. */
  static Slope fit(CellResult.Kind kind, String sweep, Measure measure, List<Point> points) {
    List<Point> sorted = new ArrayList<>(points);
    sorted.sort(Comparator.comparingDouble(Point::size));
    if (sorted.stream().mapToDouble(Point::size).distinct().count() < FEWEST) {
      return null;
    }
    SimpleRegression line = new SimpleRegression();
    SimpleRegression logarithms = new SimpleRegression();
    for (Point point : sorted) {
      line.addData(point.size(), point.value());
      logarithms.addData(Math.log(point.size()), Math.log(point.value()));
    }
    boolean flat = sorted.stream().mapToDouble(Point::value).distinct().count() == 1;
    return new Slope(
        kind,
        sweep,
        measure,
        line.getIntercept(),
        line.getSlope(),
        flat ? 0 : line.getSlopeConfidenceInterval(),
        sorted.stream().allMatch(point -> point.value() > 0) ? logarithms.getSlope() : Double.NaN,
        sorted.get(0).size(),
        sorted.get(sorted.size() - 1).size(),
        straightTo(sorted),
        sorted.size());
  }

  /** The largest size whose values the line through all smaller sizes foretells. */
  private static double straightTo(List<Point> sorted) {
    SimpleRegression below = new SimpleRegression();
    double straight = sorted.get(0).size();
    int seen = 0;
    int next = 0;
    while (next < sorted.size()) {
      double size = sorted.get(next).size();
      List<Point> here = sorted.stream().filter(point -> point.size() == size).toList();
      double mean = here.stream().mapToDouble(Point::value).average().orElseThrow();
      if (seen >= 2 && Math.abs(below.predict(size) - mean) > STRAIGHT * Math.abs(mean)) {
        return straight;
      }
      here.forEach(point -> below.addData(point.size(), point.value()));
      straight = size;
      seen++;
      next += here.size();
    }
    return straight;
  }
}
