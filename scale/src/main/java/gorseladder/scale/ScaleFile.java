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

/** Reads the file of a scale run and rejects sizes that do not fit on this machine before anything starts. */
public final class ScaleFile {
  /** Sizes that a sweep needs for a slope. */
  static final int MIN_SIZES = 4;

  /** Factor between the smallest and the largest size of a sweep. */
  static final double MIN_FACTOR = 64;
  /** Concurrent processes of a run; more would disturb the run and other programs on the machine. */
  static final int MAX_PROCESSES = 300;
  /** Upper bounds of the heap that a hollow dispatcher uses; {@code docs/CAPACITY.md} has the measured values. */
  private static final long MAX_BYTES_PER_WORKER = 700;

  private static final long MAX_BYTES_PER_FUNCTION = 3_000;
  private static final long MAX_LIST_LINE_BYTES_PER_WORKER = 2_000;
  /** Upper bound of the memory of a real dispatcher. */
  private static final long MAX_BYTES_PER_PROCESS = 150L << 20;

  private static final double GIGABYTE = 1 << 30;

  private ScaleFile() {}

  /**
   * Reads and validates a file.
   *
   * @param heapBytes maximum heap of this process
   * @param machineBytes memory of the machine
   * @throws IllegalArgumentException if the file is malformed or its sizes do not fit; the message names the line or
   *     the field
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
      throw invalid("sweep", "at least one is needed");
    }
    run.getSweepList().forEach(sweep -> validate(run.getBase(), sweep, heapBytes));
    if (run.hasReal()) {
      validate(run.getBase(), run.getReal(), machineBytes);
    }
    return run.build();
  }

  /** The base sizes with the value of a sweep in one field. */
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

  private static void validate(Sizes base, Sweep sweep, long heapBytes) {
    String name = "sweep " + sweep.getField();
    if (sweep.getValueCount() < MIN_SIZES) {
      throw invalid(name, "has " + sweep.getValueCount() + " sizes, needs " + MIN_SIZES);
    }
    for (int i = 1; i < sweep.getValueCount(); i++) {
      if (sweep.getValue(i) <= sweep.getValue(i - 1)) {
        throw invalid(name, "sizes must grow; " + sweep.getValue(i) + " does not");
      }
    }
    double factor = sweep.getValue(sweep.getValueCount() - 1) / sweep.getValue(0);
    if (!(factor >= MIN_FACTOR)) {
      throw invalid(
          name,
          String.format(Locale.ROOT, "spans a factor of %.1f, needs %.0f", factor, MIN_FACTOR));
    }
    sweep
        .getValueList()
        .forEach(value -> validate(name, sizes(base, sweep.getField(), value), heapBytes));
  }

  private static void validate(String name, Sizes sizes, long heapBytes) {
    requirePositive(name, "workers", sizes.getWorkers());
    requirePositive(name, "dispatchers", sizes.getDispatchers());
    requirePositive(name, "functions", sizes.getFunctions());
    requirePositive(name, "calls", sizes.getCalls());
    requirePositive(name, "calls_per_second", sizes.getCallsPerSecond());
    requirePositive(name, "zones", sizes.getZones());
    requirePositive(name, "cells", sizes.getCells());
    requirePositive(name, "weight_from", sizes.getWeightFrom());
    if (sizes.getChangesPerSecond() < 0) {
      throw invalid(name + " changes_per_second", "is " + sizes.getChangesPerSecond());
    }
    if (sizes.getWeightTo() < sizes.getWeightFrom()) {
      throw invalid(name + " weight_to", "is below weight_from");
    }
    double calledFunctions = Math.min(sizes.getFunctions(), sizes.getCalls());
    double bytes = sizes.getDispatchers()
            * ((double) sizes.getWorkers() * MAX_BYTES_PER_WORKER
                + calledFunctions * MAX_BYTES_PER_FUNCTION)
        + (double) sizes.getWorkers() * MAX_LIST_LINE_BYTES_PER_WORKER;
    if (bytes > heapBytes) {
      throw invalid(
          name,
          String.format(
              Locale.ROOT,
              "%d dispatchers with %d workers and %.0f functions need %.1f GB; this process may take %.1f GB",
              sizes.getDispatchers(),
              sizes.getWorkers(),
              calledFunctions,
              bytes / GIGABYTE,
              heapBytes / GIGABYTE));
    }
  }

  private static void validate(Sizes base, RealDispatchers real, long machineBytes) {
    real.getWorkersList().forEach(workers -> requirePositive("real", "workers", workers));
    requirePositive("real", "calls", real.getCalls());
    for (int dispatchers : real.getDispatchersList()) {
      requirePositive("real", "dispatchers", dispatchers);
      if (dispatchers > MAX_PROCESSES) {
        throw invalid("real dispatchers", dispatchers + " is over " + MAX_PROCESSES + " processes");
      }
      if (dispatchers * MAX_BYTES_PER_PROCESS > machineBytes / 2) {
        throw invalid(
            "real dispatchers",
            String.format(
                Locale.ROOT,
                "%d processes need %.1f GB; half of the machine's memory is %.1f GB",
                dispatchers,
                dispatchers * MAX_BYTES_PER_PROCESS / GIGABYTE,
                machineBytes / 2 / GIGABYTE));
      }
    }
  }

  private static void requirePositive(String section, String field, double value) {
    if (!(value > 0)) {
      throw invalid(section + " " + field, "is " + value + ", must be positive");
    }
  }

  private static IllegalArgumentException invalid(String field, String reason) {
    return new IllegalArgumentException(field + ": " + reason);
  }
}
