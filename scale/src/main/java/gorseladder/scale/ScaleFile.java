package gorseladder.scale;

import com.google.protobuf.TextFormat;
import gorseladder.scale.proto.RealDispatchers;
import gorseladder.scale.proto.ScaleRun;
import gorseladder.scale.proto.Sizes;
import gorseladder.scale.proto.Sweep;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Reads the file of a scale run and refuses sizes that cannot fit this machine, before anything starts. */
public final class ScaleFile {
  /** Sizes that a sweep needs for a slope, and the factor between its first and its last. */
  static final int FEWEST_SIZES = 4;

  static final double LEAST_FACTOR = 64;
  /** Processes that a run may have at once, of its own and the machine's sake. */
  static final int MOST_PROCESSES = 300;
  /**
   * Upper bounds of the heap that a hollow dispatcher takes, in bytes; {@code docs/CAPACITY.md} has what it does take.
   */
  private static final long BYTES_A_WORKER = 700;

  private static final long BYTES_A_FUNCTION = 3_000;
  private static final long BYTES_A_WORKER_OF_A_LIST_LINE = 2_000;
  /** Memory of a real dispatcher on the machine, at the most, in bytes. */
  private static final long BYTES_A_PROCESS = 150L << 20;

  private static final double GIGABYTE = 1 << 30;

  private ScaleFile() {}

  /**
   * Reads and checks a file.
   *
   * @param heapBytes what this process may take
   * @param machineBytes the machine's memory
   * @throws IllegalArgumentException where the file is wrong or too large; the text names the place or the field
   */
  public static ScaleRun load(Path file, long heapBytes, long machineBytes) throws IOException {
    ScaleRun.Builder run = ScaleRun.newBuilder();
    try {
      TextFormat.merge(Files.readString(file), run);
    } catch (TextFormat.ParseException e) {
      throw new IllegalArgumentException(file + ":" + e.getMessage(), e);
    }
    if (run.getSeedCount() == 0) {
      run.addSeed(1);
    }
    if (run.getSweepCount() == 0) {
      throw wrong("sweep", "at least one is needed");
    }
    run.getSweepList().forEach(sweep -> check(run.getBase(), sweep, heapBytes));
    if (run.hasReal()) {
      check(run.getBase(), run.getReal(), machineBytes);
    }
    return run.build();
  }

  /** The base sizes with one field changed as a sweep asks. */
  static Sizes sizes(Sizes base, Sweep.Field field, double value) {
    Sizes.Builder sizes = base.toBuilder();
    switch (field) {
      case WORKERS -> sizes.setWorkers((int) value);
      case DISPATCHERS -> sizes.setDispatchers((int) value);
      case FUNCTIONS -> sizes.setFunctions((int) value);
      case CHANGES -> sizes.setChangesPerSecond(value);
    }
    return sizes.build();
  }

  private static void check(Sizes base, Sweep sweep, long heapBytes) {
    String name = "sweep " + sweep.getField();
    if (sweep.getValueCount() < FEWEST_SIZES) {
      throw wrong(name, "has " + sweep.getValueCount() + " sizes, needs " + FEWEST_SIZES);
    }
    for (int i = 1; i < sweep.getValueCount(); i++) {
      if (sweep.getValue(i) <= sweep.getValue(i - 1)) {
        throw wrong(name, "sizes must grow; " + sweep.getValue(i) + " does not");
      }
    }
    double factor = sweep.getValue(sweep.getValueCount() - 1) / sweep.getValue(0);
    if (!(factor >= LEAST_FACTOR)) {
      throw wrong(
          name,
          String.format(Locale.ROOT, "spans a factor of %.1f, needs %.0f", factor, LEAST_FACTOR));
    }
    sweep
        .getValueList()
        .forEach(value -> check(name, sizes(base, sweep.getField(), value), heapBytes));
  }

  private static void check(String name, Sizes sizes, long heapBytes) {
    positive(name, "workers", sizes.getWorkers());
    positive(name, "dispatchers", sizes.getDispatchers());
    positive(name, "functions", sizes.getFunctions());
    positive(name, "calls", sizes.getCalls());
    positive(name, "calls_per_second", sizes.getCallsPerSecond());
    positive(name, "zones", sizes.getZones());
    positive(name, "cells", sizes.getCells());
    positive(name, "weight_from", sizes.getWeightFrom());
    if (sizes.getChangesPerSecond() < 0) {
      throw wrong(name + " changes_per_second", "is " + sizes.getChangesPerSecond());
    }
    if (sizes.getWeightTo() < sizes.getWeightFrom()) {
      throw wrong(name + " weight_to", "is below weight_from");
    }
    double functionsMet = Math.min(sizes.getFunctions(), sizes.getCalls());
    double bytes = sizes.getDispatchers()
            * ((double) sizes.getWorkers() * BYTES_A_WORKER + functionsMet * BYTES_A_FUNCTION)
        + (double) sizes.getWorkers() * BYTES_A_WORKER_OF_A_LIST_LINE;
    if (bytes > heapBytes) {
      throw wrong(
          name,
          String.format(
              Locale.ROOT,
              "%d dispatchers with %d workers and %.0f functions need %.1f GB; this process may take %.1f GB",
              sizes.getDispatchers(),
              sizes.getWorkers(),
              functionsMet,
              bytes / GIGABYTE,
              heapBytes / GIGABYTE));
    }
  }

  private static void check(Sizes base, RealDispatchers real, long machineBytes) {
    real.getWorkersList().forEach(workers -> positive("real", "workers", workers));
    positive("real", "calls", real.getCalls());
    for (int dispatchers : real.getDispatchersList()) {
      positive("real", "dispatchers", dispatchers);
      if (dispatchers > MOST_PROCESSES) {
        throw wrong("real dispatchers", dispatchers + " is over " + MOST_PROCESSES + " processes");
      }
      if (dispatchers * BYTES_A_PROCESS > machineBytes / 2) {
        throw wrong(
            "real dispatchers",
            String.format(
                Locale.ROOT,
                "%d processes need %.1f GB; half of the machine's memory is %.1f GB",
                dispatchers,
                dispatchers * BYTES_A_PROCESS / GIGABYTE,
                machineBytes / 2 / GIGABYTE));
      }
    }
  }

  private static void positive(String where, String field, double value) {
    if (!(value > 0)) {
      throw wrong(where + " " + field, "is " + value + ", must be positive");
    }
  }

  private static IllegalArgumentException wrong(String field, String why) {
    return new IllegalArgumentException(field + ": " + why);
  }
}
