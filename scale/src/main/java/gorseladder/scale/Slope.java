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
    double intercept,
    double slope,
    double halfWidth,
    double exponent,
    double minSize,
    double maxSize,
    double linearUpTo,
    int cells) {
  /** A size counts as on the line where it is missed by no more than this part of it. */
  static final double MAX_RELATIVE_MISS = 0.5;

  private static final int MIN_SIZES = 3;

  /** One measured point. */
  record Point(double size, double value) {}

  /** Fits a line; null where there are fewer than three sizes. */
  static Slope fit(CellResult.Kind kind, String sweep, Measure measure, List<Point> points) {
    List<Point> sorted = new ArrayList<>(points);
    sorted.sort(Comparator.comparingDouble(Point::size));
    if (sorted.stream().mapToDouble(Point::size).distinct().count() < MIN_SIZES) {
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
        linearUpTo(sorted),
        sorted.size());
  }

  /** The largest size whose values the line through all smaller sizes foretells. */
  private static double linearUpTo(List<Point> sorted) {
    SimpleRegression below = new SimpleRegression();
    double linearUpTo = sorted.get(0).size();
    int sizesSeen = 0;
    int next = 0;
    while (next < sorted.size()) {
      double size = sorted.get(next).size();
      List<Point> atSize = sorted.stream().filter(point -> point.size() == size).toList();
      double mean = atSize.stream().mapToDouble(Point::value).average().orElseThrow();
      if (sizesSeen >= 2
          && Math.abs(below.predict(size) - mean) > MAX_RELATIVE_MISS * Math.abs(mean)) {
        return linearUpTo;
      }
      atSize.forEach(point -> below.addData(point.size(), point.value()));
      linearUpTo = size;
      sizesSeen++;
      next += atSize.size();
    }
    return linearUpTo;
  }
}
