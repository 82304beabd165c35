package gorseladder.scale;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A straight line through a measure of the cells of a sweep, by least squares.
 *
 * @param intercept value of the line at size 0
 * @param slope increase per unit of the size
 * @param halfWidth half the width of the slope's 95 % confidence interval
 * @param exponent slope of the logarithms: 0 if constant, 1 if proportional; NaN if a value is not positive
 * @param linearUpTo largest size up to which the line through all smaller sizes misses each size's mean by no more than
 *     {@link #MAX_RELATIVE_MISS}
 * @param cells number of points
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
  /** Largest miss, relative to the measured mean, at which a size still counts as on the line. */
  static final double MAX_RELATIVE_MISS = 0.5;

  private static final int MIN_SIZES = 3;

  /** A measured value at a size. */
  record Point(double size, double value) {}

  /** Fits a line; null if there are fewer than three sizes. */
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

  /** The largest size up to which the line through all smaller sizes predicts the mean of the values. */
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
