package gorseladder.scale;

import gorseladder.scale.CellResult.Kind;
import gorseladder.scale.Slope.Point;
import gorseladder.scale.proto.Sizes;
import gorseladder.scale.proto.Sweep;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Writes the results of a scale run: {@code cells.csv}, {@code slopes.csv} and plots of each sweep. */
public final class Report {
  private static final int WIDTH = 900;
  private static final int HEIGHT = 520;

  private Report() {}

  /** Writes the two tables to a directory, which is created if it does not exist. */
  public static void write(Scale scale, Path directory) throws IOException {
    Files.createDirectories(directory);
    List<String> cells =
        new ArrayList<>(List.of("kind,sweep,size,workers,dispatchers,functions,changes_per_second,"
            + "calls,zipf,seed,measure,value,failure"));
    scale.results().forEach(cell -> cells.addAll(cellRows(cell)));
    Files.write(directory.resolve("cells.csv"), cells);
    List<String> slopes = new ArrayList<>(List.of(
        "kind,sweep,measure,at_0,slope,half_of_95_percent,exponent,from,to,straight_to,cells"));
    scale.slopes().forEach(slope -> slopes.add(slopeRow(slope)));
    Files.write(directory.resolve("slopes.csv"), slopes);
  }

  private static List<String> cellRows(CellResult cell) {
    Sizes sizes = cell.sizes();
    String rowPrefix = String.format(
        Locale.ROOT,
        "%s,%s,%s,%d,%d,%d,%s,%d,%s,%d,",
        cell.kind(),
        cell.sweep(),
        cell.size(),
        sizes.getWorkers(),
        sizes.getDispatchers(),
        sizes.getFunctions(),
        sizes.getChangesPerSecond(),
        sizes.getCalls(),
        sizes.getZipf(),
        cell.seed());
    if (cell.failure() != null) {
      return List.of(rowPrefix + ",,\"" + cell.failure().replace('"', '\'') + "\"");
    }
    return cell.measures().entrySet().stream()
        .map(entry -> rowPrefix + entry.getKey() + "," + format(entry.getValue()) + ",")
        .collect(Collectors.toList());
  }

  private static String slopeRow(Slope slope) {
    return String.join(
        ",",
        slope.kind().name(),
        slope.sweep(),
        slope.measure().name(),
        format(slope.intercept()),
        format(slope.slope()),
        format(slope.halfWidth()),
        format(slope.exponent()),
        format(slope.minSize()),
        format(slope.maxSize()),
        format(slope.linearUpTo()),
        Integer.toString(slope.cells()));
  }

  private static String format(double value) {
    return String.format(Locale.ROOT, "%.5g", value);
  }

  /** Plots each measure of each sweep on logarithmic axes, with hollow and real dispatchers as two series. */
  public static void plot(Scale scale, Path directory) throws IOException {
    Files.createDirectories(directory);
    for (Sweep.Field field : Sweep.Field.values()) {
      for (Measure measure : Measure.values()) {
        XYChart chart = new XYChartBuilder()
            .width(WIDTH)
            .height(HEIGHT)
            .title(measure.title() + " (hollow and real dispatchers)")
            .xAxisTitle(field.name().toLowerCase(Locale.ROOT))
            .yAxisTitle(measure.title())
            .build();
        chart.getStyler().setXAxisLogarithmic(true).setYAxisLogarithmic(true);
        for (Kind kind : Kind.values()) {
          List<Point> points = scale.points(kind, field, measure).stream()
              .filter(point -> point.value() > 0)
              .toList();
          if (!points.isEmpty()) {
            chart.addSeries(
                kind.name().toLowerCase(Locale.ROOT),
                points.stream().map(Point::size).toList(),
                points.stream().map(Point::value).toList());
          }
        }
        if (!chart.getSeriesMap().isEmpty()) {
          String fileName = (field + "-" + measure).toLowerCase(Locale.ROOT) + ".png";
          BitmapEncoder.saveBitmap(chart, directory.resolve(fileName).toString(), BitmapFormat.PNG);
        }
      }
    }
  }
}
