package gorseladder.node;

import gorseladder.runtime.ProcessMemory;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs what the process holds: regularly, when its resident memory comes near the limit, and after something was
 * refused for want of room, so that the log tells the state before an end that leaves no line. Used by one thread.
 * Times are microseconds.
 */
final class MemoryLog {
  private static final Logger LOG = LoggerFactory.getLogger(MemoryLog.class);
  private static final long RESIDENT_CHECK_MICROS = 1_000_000;
  /** Part of the limit from which resident memory is logged as near to it. */
  private static final double NEAR_LIMIT = 0.9;
  /** Least time between two lines for the same reason. */
  private static final long MIN_INTERVAL_MICROS = 5_000_000;

  private final String name;
  private final ProcessMemory memory;
  private final long limit;
  private final LongSupplier refusals;
  private final Supplier<String> summary;
  private long checkAt;
  private long mayWarnAt;
  private long mayTellRefusalsAt;
  private long toldRefusals;

  /**
   * Creates a log.
   *
   * @param limit memory that the process may use, in bytes
   * @param refusals how often something was refused for want of room so far
   * @param summary what the components hold
   */
  MemoryLog(
      String name,
      ProcessMemory memory,
      long limit,
      LongSupplier refusals,
      Supplier<String> summary) {
    this.name = name;
    this.memory = memory;
    this.limit = limit;
    this.refusals = refusals;
    this.summary = summary;
  }

  /** The pools of memory in one line. */
  String describe() {
    return memory.describe();
  }

  /** Looks whether something is to be logged; called periodically. */
  void check(long now) {
    if (now < checkAt) {
      return;
    }
    checkAt = now + RESIDENT_CHECK_MICROS;
    if (now >= mayWarnAt && memory.resident() > limit * NEAR_LIMIT) {
      mayWarnAt = now + MIN_INTERVAL_MICROS;
      LOG.warn("{} is near its memory limit; {}; {}", name, memory.describe(), summary.get());
    }
    long refused = refusals.getAsLong();
    if (now >= mayTellRefusalsAt && refused > toldRefusals) {
      mayTellRefusalsAt = now + MIN_INTERVAL_MICROS;
      LOG.warn(
          "{} refused {} times for want of room since the last line; {}; {}",
          name,
          refused - toldRefusals,
          memory.describe(),
          summary.get());
      toldRefusals = refused;
    }
  }
}
