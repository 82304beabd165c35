package gorseladder.store;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The time by which the ledger remembers and forgets: microseconds that begin at the wall clock's and then go on with
 * the monotonic clock. Steps of the wall clock do not reach it, also not over a restart of the process: how far the two
 * clocks stood apart is kept in a file beside the ledger, with the boot of the machine for which that holds.
 *
 * <p>Guards against messages that are forgotten, or windows that count as over or as not begun, because the wall clock
 * was stepped. It could harm where the clock was wrong at the first start after a boot: this time is then wrong until
 * the next boot, which only matters where it is compared with another machine's; {@link #fromWallClock} is for that. Any
 * thread.
 */
public final class LedgerClock {
  private static final Path BOOT = Path.of("/proc/sys/kernel/random/boot_id");
  private static final String FILE = "clock";
  private static final long NANOS = 1_000;

  private final long offset;

  private LedgerClock(long offset) {
    this.offset = offset;
  }

  /** Opens the clock of a folder; where its file cannot be read or written the wall clock's present time begins it. */
  static LedgerClock open(Path folder) {
    return open(folder, boot(), System.currentTimeMillis() * NANOS, monotonic());
  }

  /**
   * The same for given readings of both clocks, in microseconds, and a given boot; null where the boot is not known.
   */
  static LedgerClock open(Path folder, String boot, long wall, long monotonic) {
    Path file = folder.resolve(FILE);
    Long kept = boot == null ? null : kept(file, boot);
    if (kept != null) {
      return new LedgerClock(kept);
    }
    long offset = wall - monotonic;
    if (boot != null) {
      try {
        Files.writeString(file, boot + " " + offset + "\n");
      } catch (IOException e) {
        // The next opening begins by the wall clock again.
      }
    }
    return new LedgerClock(offset);
  }

  private static Long kept(Path file, String boot) {
    try {
      String[] words = Files.readString(file).strip().split(" ");
      return words.length == 2 && words[0].equals(boot) ? Long.valueOf(words[1]) : null;
    } catch (IOException | NumberFormatException e) {
      return null;
    }
  }

  private static String boot() {
    try {
      return Files.readString(BOOT).strip();
    } catch (IOException e) {
      return null;
    }
  }

  private static long monotonic() {
    return System.nanoTime() / NANOS;
  }

  /** The present time. */
  public long micros() {
    return at(monotonic());
  }

  long at(long monotonic) {
    return offset + monotonic;
  }

  /**
   * A moment told on the wall clock, on this one.
   *
   * @param moment microseconds since 1970, as another machine's clock has it
   * @param wall this machine's wall clock now
   */
  public long fromWallClock(long moment, long wall) {
    return micros() + (moment - wall);
  }
}
