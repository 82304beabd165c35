package gorseladder.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * Clock for expiry times of the ledger, in microseconds: starts at wall-clock time and advances with the monotonic
 * clock, so that steps of the wall clock do not affect it. A file in the ledger's folder stores the offset between the
 * two clocks and the machine's boot id, so that steps have no effect across restarts of the process either.
 *
 * <p>A stepped wall clock would otherwise expire messages early, or make time windows appear over or not yet begun. If
 * the wall clock is wrong at the first start after a boot, this clock stays wrong until the next boot, which matters
 * only in comparison with another machine's clock; {@link #fromWallClock} converts such times. Thread-safe.
 */
public final class LedgerClock {
  private static final Path BOOT_ID_FILE = Path.of("/proc/sys/kernel/random/boot_id");
  private static final String FILE_NAME = "clock";
  private static final long NANOS_PER_MICRO = 1_000;

  private final long offset;

  private LedgerClock(long offset) {
    this.offset = offset;
  }

  /** Opens the clock of a folder; starts at the wall-clock time if no offset for this boot can be read. */
  static LedgerClock open(Path folder) {
    return open(folder, bootId(), System.currentTimeMillis() * NANOS_PER_MICRO, monotonicMicros());
  }

  /**
   * Opens the clock with the given readings.
   *
   * @param bootId boot id of the machine, or null if unknown; the offset is then not stored
   * @param wall wall-clock time in microseconds since 1970
   * @param monotonic monotonic time in microseconds
   */
  static LedgerClock open(Path folder, String bootId, long wall, long monotonic) {
    Path file = folder.resolve(FILE_NAME);
    Long stored = bootId == null ? null : storedOffset(file, bootId);
    if (stored != null) {
      return new LedgerClock(stored);
    }
    long offset = wall - monotonic;
    if (bootId != null) {
      try {
        Files.writeString(file, bootId + " " + offset + "\n");
      } catch (IOException e) {
        // The offset is not stored: the next start begins at wall-clock time again.
      }
    }
    return new LedgerClock(offset);
  }

  private static Long storedOffset(Path file, String bootId) {
    try {
      String[] words = Files.readString(file).strip().split(" ");
      return words.length == 2 && words[0].equals(bootId) ? Long.valueOf(words[1]) : null;
    } catch (IOException | NumberFormatException e) {
      return null;
    }
  }

  private static String bootId() {
    try {
      return Files.readString(BOOT_ID_FILE).strip();
    } catch (IOException e) {
      return null;
    }
  }

  private static long monotonicMicros() {
    return System.nanoTime() / NANOS_PER_MICRO;
  }

  /** Current time in microseconds. */
  public long micros() {
    return at(monotonicMicros());
  }

  long at(long monotonic) {
    return offset + monotonic;
  }

  /**
   * Converts a wall-clock time to this clock.
   *
   * @param wallTime time in microseconds since 1970, for example from another machine
   * @param wallNow current wall-clock time of this machine, in microseconds since 1970
   */
  public long fromWallClock(long wallTime, long wallNow) {
    return micros() + (wallTime - wallNow);
  }
}
