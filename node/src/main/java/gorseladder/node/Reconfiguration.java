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
 * Keeps the address of the change log that is in force equal to the one that the configuration file names. The file is
 * read when a signal asks for it, when it was replaced or changed, again and again while it cannot be read, and while
 * the log at the address in force says nothing.
 *
 * <p>Guards against news that is told once: a signal that is lost, or a file that cannot be opened or is half written
 * at that moment, would leave the dispatcher at an address that tells nothing any more, for good. It could harm where a
 * file is laid down that is not meant to hold yet: it holds within {@link #LOOK_MILLIS}, with or without the signal.
 *
 * <p>One thread of its own that reads and applies, so that what was read earlier is never applied later. {@link #ask}
 * is for any thread.
 */
final class Reconfiguration implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(Reconfiguration.class);
  /** Between two looks at the file. */
  private static final long CHECK_INTERVAL_MILLIS = 200;
  /** For so long after a change was seen the file is read at every look: one more change may not show in its times. */
  private static final long REREAD_AFTER_CHANGE_MICROS = 1_000_000;
  /** Between two readings of an unchanged file while the log says nothing. */
  private static final long REREAD_WHILE_SILENT_MICROS = 1_000_000;
  /** A line for the first failure, and then for each so many. */
  private static final int FAILURES_PER_WARNING = 50;

  /**
   * What tells one state of the file from the next. Compared by its own code: that of a record is made at run time, at
   * the first comparison.
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
   * Begins to look.
   *
   * @param file the configuration file
   * @param reader reads the address from it and throws {@link BadInput} where it cannot be used
   * @param inForce the address that is followed at present
   * @param follower is told another address
   * @param heard false while the log at the address in force says nothing
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

  /** A new configuration is there. */
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

  /** Waits for the next look; false once closed. */
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

  /** The file's state; null where it cannot be had just now. */
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

  /** How readings went so far, for the log. */
  String summary() {
    return reloads + " reloads, " + failedReloads + " failed, the last one: " + lastOutcome;
  }

  @Override
  public synchronized void close() {
    closed = true;
    notifyAll();
  }
}
