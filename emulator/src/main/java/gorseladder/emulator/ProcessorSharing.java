package gorseladder.emulator;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntToDoubleFunction;

/**
 * A resource under processor sharing: all jobs progress at the same rate, which depends on their number. Models the
 * cores of a runner and the archive.
 *
 * @param <K> key of a job
 */
final class ProcessorSharing<K> {
  private static final double COMPLETION_EPSILON_MICROS = 1e-6;

  private static final class Job {
    private double remaining;
    private final Runnable onDone;

    Job(double remaining, Runnable onDone) {
      this.remaining = remaining;
      this.onDone = onDone;
    }
  }

  private final EventScheduler scheduler;
  private final IntToDoubleFunction ratePerJob;
  private final Map<K, Job> jobs = new LinkedHashMap<>();
  private long updatedAt;
  private int generation;

  /**
   * Creates a resource without jobs.
   *
   * @param ratePerJob work that each job completes in a microsecond, by the number of jobs
   */
  ProcessorSharing(EventScheduler scheduler, IntToDoubleFunction ratePerJob) {
    this.scheduler = scheduler;
    this.ratePerJob = ratePerJob;
  }

  int size() {
    return jobs.size();
  }

  /**
   * Adds a job.
   *
   * @param micros the job's duration at a rate of 1
   */
  void start(K key, double micros, Runnable onDone) {
    advance();
    jobs.put(key, new Job(micros, onDone));
    scheduleCompletion();
  }

  /** Removes a job without running its completion. */
  void remove(K key) {
    advance();
    jobs.remove(key);
    scheduleCompletion();
  }

  void clear() {
    jobs.clear();
    generation++;
  }

  private void advance() {
    double progress =
        jobs.isEmpty() ? 0 : (scheduler.now() - updatedAt) * ratePerJob.applyAsDouble(jobs.size());
    jobs.values().forEach(job -> job.remaining -= progress);
    updatedAt = scheduler.now();
  }

  private void scheduleCompletion() {
    int expected = ++generation;
    double minRemaining = Double.MAX_VALUE;
    for (Job job : jobs.values()) {
      minRemaining = Math.min(minRemaining, job.remaining);
    }
    if (!jobs.isEmpty()) {
      scheduler.after(
          (long) Math.ceil(Math.max(0, minRemaining) / ratePerJob.applyAsDouble(jobs.size())),
          () -> complete(expected));
    }
  }

  private void complete(int expected) {
    if (expected != generation) {
      return;
    }
    advance();
    List<Job> done = jobs.values().stream()
        .filter(job -> job.remaining <= COMPLETION_EPSILON_MICROS)
        .toList();
    jobs.values().removeAll(done);
    scheduleCompletion();
    done.forEach(job -> job.onDone.run());
  }
}
