package gorseladder.scale;

import gorseladder.scale.CellResult.Kind;
import gorseladder.scale.Slope.Point;
import gorseladder.scale.proto.RealDispatchers;
import gorseladder.scale.proto.ScaleRun;
import gorseladder.scale.proto.Sizes;
import gorseladder.scale.proto.Sweep;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import me.tongfei.progressbar.ProgressBar;
import me.tongfei.progressbar.ProgressBarBuilder;

/**
 * Runs the cells of a scale run one after the other, so that none disturbs another, and fits slopes to their measures.
 * A failed cell is recorded with its reason, and the run continues.
 */
public final class Scale {
  private final ScaleRun settings;
  private final Path root;
  private final List<CellResult> results = new ArrayList<>();

  /**
   * Creates a run; {@link #run} starts it.
   *
   * @param root directory that holds the deploy file
   */
  public Scale(ScaleRun settings, Path root) {
    this.settings = settings;
    this.root = root;
  }

  /** Runs all cells and shows a progress bar on standard error. */
  public void run() throws InterruptedException {
    int hollowCells =
        settings.getSweepList().stream().mapToInt(Sweep::getValueCount).sum()
            * settings.getSeedCount();
    int realCells = settings.getReal().getWorkersCount() + settings.getReal().getDispatchersCount();
    warmUp();
    try (ProgressBar bar = new ProgressBarBuilder()
        .setTaskName("scale")
        .setUpdateIntervalMillis(500)
        .setInitialMax(hollowCells + realCells)
        .build()) {
      for (Sweep sweep : settings.getSweepList()) {
        for (double value : sweep.getValueList()) {
          for (long seed : settings.getSeedList()) {
            results.add(runHollowCell(sweep.getField(), value, seed));
            bar.step();
          }
        }
      }
      for (int workers : settings.getReal().getWorkersList()) {
        results.add(runRealCell(Sweep.Field.WORKERS, workers, 1));
        bar.step();
      }
      for (int dispatchers : settings.getReal().getDispatchersList()) {
        results.add(runRealCell(Sweep.Field.DISPATCHERS, dispatchers, dispatchers));
        bar.step();
      }
    }
  }

  /** Runs the base cell unrecorded, so that the first cell does not include class loading and compilation. */
  private void warmUp() {
    new HollowCell(settings.getBase(), settings.getMostSeconds(), settings.getSeed(0)).run();
  }

  private CellResult runHollowCell(Sweep.Field field, double value, long seed) {
    Sizes sizes = ScaleFile.sizes(settings.getBase(), field, value);
    try {
      Map<Measure, Double> measures = new HollowCell(sizes, settings.getMostSeconds(), seed).run();
      return new CellResult(Kind.HOLLOW, field, value, sizes, seed, measures, null);
    } catch (OutOfMemoryError e) {
      return new CellResult(Kind.HOLLOW, field, value, sizes, seed, Map.of(), e.toString());
    }
  }

  private CellResult runRealCell(Sweep.Field field, double value, int dispatchers)
      throws InterruptedException {
    Sizes sizes = ScaleFile.sizes(settings.getBase(), field, value).toBuilder()
        .setDispatchers(dispatchers)
        .build();
    RealDispatchers real = settings.getReal();
    long seed = settings.getSeed(0);
    try (RealCell cell = new RealCell(sizes, real, seed)) {
      return new CellResult(Kind.REAL, field, value, sizes, seed, cell.run(root), null);
    } catch (IOException e) {
      return new CellResult(Kind.REAL, field, value, sizes, seed, Map.of(), e.getMessage());
    }
  }

  /** Results of the cells in the order in which they ran. */
  public List<CellResult> results() {
    return List.copyOf(results);
  }

  /** A slope for each kind, sweep and measure with values at three sizes or more. */
  public List<Slope> slopes() {
    List<Slope> slopes = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      for (Sweep.Field field : Sweep.Field.values()) {
        for (Measure measure : Measure.values()) {
          slopes.add(Slope.fit(kind, field.name(), measure, points(kind, field, measure)));
        }
      }
    }
    return slopes.stream().filter(Objects::nonNull).toList();
  }

  /** The measured points of one kind, sweep and measure. */
  List<Point> points(Kind kind, Sweep.Field field, Measure measure) {
    return results.stream()
        .filter(cell -> cell.kind() == kind && cell.sweep() == field)
        .filter(cell -> cell.measures().containsKey(measure))
        .map(cell -> new Point(cell.size(), cell.measures().get(measure)))
        .toList();
  }
}
