package gorseladder.node;

import gorseladder.platform.BadInput;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Applies changes of the change log address in the configuration file. The file is read when a signal requests it, when
 * the file was replaced or changed, repeatedly while it cannot be read, and while the change log at the current address
 * sends nothing.
 *
 * <p>A signal alone is not enough: if it is lost, or the file cannot be opened or is half written at that moment, the
 * dispatcher would stay at an address that sends nothing any more. The cost is that a file which is put there too early
 * takes effect within {@link #CHECK_INTERVAL_MILLIS}, with or without a signal.
 *
 * <p>One thread of its own reads and applies the file, so that an older content is never applied after a newer one.
 * {@link #requestReload} may be called on any thread.
 */
final class Reconfiguration implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Reconfiguration.class);
  /** Interval between two checks of the file. */
  private static final long CHECK_INTERVAL_MILLIS = 200;
  /**
   * For this long after a change the file is read at every check, since one more change may not be visible in its
   * timestamps.
   */
  private static final long REREAD_AFTER_CHANGE_MICROS = 1_000_000;
  /** Interval at which an unchanged file is read while the change log is silent. */
  private static final long REREAD_WHILE_SILENT_MICROS = 1_000_000;
  /** One warning is logged per this many consecutive failures, at the first of them. */
  private static final int FAILURES_PER_WARNING = 50;

  /**
   * The attributes that show a change of the file. Has its own {@code equals}, because that of a record is generated at
   * run time, at the first comparison.
   */
  private record FileState(Object key, long modifiedNanos, long size) {
    @Override
    public boolean equals(Object other) {
      return other instanceof FileState s
          && Objects.equals(key, s.key)
          && modifiedNanos == s.modifiedNanos
          && size == s.size;
    }

    @Override
    public int hashCode() {
      return Long.hashCode(modifiedNanos);
    }
  }

  private final Path file;
  private final Supplier<InetSocketAddress> reader;
  private final Consumer<InetSocketAddress> follower;
  private final BooleanSupplier logHeard;
  private InetSocketAddress currentAddress;
  private FileState lastRead;
  private long rereadUntil;
  private long readAt;
  private int failures;
  private boolean reloadRequested;
  private boolean closed;
  private long reloads;
  private long failedReloads;
  private volatile String lastOutcome = "none";

  /**
   * Starts the checks.
   *
   * @param file the configuration file
   * @param reader reads the address from the file and throws {@link BadInput} if the file is not usable
   * @param currentAddress the address that is followed at present
   * @param follower receives a changed address
   * @param logHeard false while the change log at the current address sends nothing
   */
  Reconfiguration(
      Path file,
      Supplier<InetSocketAddress> reader,
      InetSocketAddress currentAddress,
      Consumer<InetSocketAddress> follower,
      BooleanSupplier logHeard,
      int stackBytes) {
    this.file = file;
    this.reader = reader;
    this.currentAddress = currentAddress;
    this.follower = follower;
    this.logHeard = logHeard;
    Threads.start("configuration", stackBytes, this::run);
  }

  /** Requests that the file is read now. */
  synchronized void requestReload() {
    reloadRequested = true;
    notifyAll();
  }

  private void run() {
    try {
      while (await()) {
        Threads.guarded("configuration", this::check);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the next check; returns false once closed. */
  private synchronized boolean await() throws InterruptedException {
    if (!reloadRequested && !closed) {
      wait(CHECK_INTERVAL_MILLIS);
    }
    return !closed;
  }

  private void check() {
    long now = Clock.micros();
    FileState state = fileState();
    boolean changed = state != null && !state.equals(lastRead);
    rereadUntil = changed ? now + REREAD_AFTER_CHANGE_MICROS : rereadUntil;
    boolean signalled = takeReloadRequest();
    boolean logSilent = !logHeard.getAsBoolean() && now - readAt >= REREAD_WHILE_SILENT_MICROS;
    if (changed || signalled || logSilent || failures > 0 || now < rereadUntil) {
      readAt = now;
      read(state, signalled);
    }
  }

  private synchronized boolean takeReloadRequest() {
    boolean requested = reloadRequested;
    reloadRequested = false;
    return requested;
  }

  /** The current state of the file; null if it cannot be determined. */
  private FileState fileState() {
    try {
      BasicFileAttributes a = Files.readAttributes(file, BasicFileAttributes.class);
      return new FileState(a.fileKey(), a.lastModifiedTime().to(TimeUnit.NANOSECONDS), a.size());
    } catch (IOException e) {
      return null;
    }
  }

  private void read(FileState state, boolean signalled) {
    try {
      InetSocketAddress address = reader.get();
      lastRead = state;
      boolean addressChanged = !address.equals(currentAddress);
      if (addressChanged || signalled || failures > 0) {
        reloads++;
        lastOutcome = "change log at " + address;
        LOG.info(
            "configuration read again{}: change log at {}{}{}",
            signalled ? " by a signal" : "",
            address,
            addressChanged ? ", before at " + currentAddress : ", as before",
            failures > 0 ? ", after " + failures + " failures" : "");
      }
      failures = 0;
      if (addressChanged) {
        currentAddress = address;
        follower.accept(address);
      }
    } catch (BadInput e) {
      failedReloads++;
      lastOutcome = e.getMessage();
      if (failures++ % FAILURES_PER_WARNING == 0) {
        LOG.warn(
            "the configuration stays as it was, change log at {}, and is read again soon: {}",
            currentAddress,
            e.getMessage());
      }
    }
  }

  /** Counts and the last outcome of the reloads, for the log. */
  String summary() {
    return reloads + " reloads, " + failedReloads + " failed, the last one: " + lastOutcome;
  }

  @Override
  public synchronized void close() {
    closed = true;
    notifyAll();
  }
}
