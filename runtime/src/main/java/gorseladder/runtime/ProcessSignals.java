package gorseladder.runtime;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.charset.StandardCharsets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import sun.misc.Signal;

/**
 * What this process was told by signals: to stop (SIGTERM, SIGINT), to read its configuration again (SIGHUP). It is asked now and
 * then and says what is so, instead of calling somebody at the moment at which a signal comes.
 *
 * <p>The Java machine handles each signal on a new thread, and where it cannot start one the signal is lost. Guards against
 * that: a process that was started with these signals blocked ({@code env --block-signal}) and with {@code -Xrs}, so that the
 * machine leaves them alone, finds them pending in {@code /proc/self/status} (proc(5), "SigBlk", "SigPnd", "ShdPnd") for as
 * long as it lives, whatever failed when they came. A pending SIGHUP cannot be taken back, so only the first one shows; what
 * depends on later ones has to look for itself. Without that the machine's own way is used, with its weakness. It could harm
 * only where a process that blocks signals has no {@code /proc}; then the machine's own way is tried too.
 *
 * <p>Any thread.
 */
public final class ProcessSignals {
  private static final Logger LOG = LoggerFactory.getLogger(ProcessSignals.class);
  private static final String STATUS = "/proc/self/status";
  private static final int MOST_STATUS = 8_192;
  private static final int HEX = 16;
  /** Signal numbers of Linux, as bits of a mask. */
  private static final long HANGUP = 1L;

  private static final long INTERRUPT = 1L << 1;
  private static final long TERMINATE = 1L << 14;

  /** Held open: while the process has no descriptor left it must still be read. Null where signals are handled. */
  private final RandomAccessFile status;

  private final byte[] buffer = new byte[MOST_STATUS];
  private boolean hangupSeen;
  private volatile boolean reloadAsked;
  private volatile boolean stopAsked;

  private ProcessSignals(RandomAccessFile status) {
    this.status = status;
  }

  /** Begins to notice signals. */
  public static ProcessSignals notice() {
    RandomAccessFile status = open();
    ProcessSignals blocked = new ProcessSignals(status);
    if (status != null && blocked.mask("SigBlk") >= 0) {
      long all = HANGUP | INTERRUPT | TERMINATE;
      if ((blocked.mask("SigBlk") & all) == all) {
        return blocked;
      }
    }
    ProcessSignals handled = new ProcessSignals(null);
    handled.handle();
    return handled;
  }

  private static RandomAccessFile open() {
    try {
      return new RandomAccessFile(STATUS, "r");
    } catch (IOException e) {
      return null;
    }
  }

  private void handle() {
    try {
      Signal.handle(new Signal("HUP"), signal -> reloadAsked = true);
      Signal.handle(new Signal("TERM"), signal -> stopAsked = true);
      Signal.handle(new Signal("INT"), signal -> stopAsked = true);
    } catch (IllegalArgumentException e) {
      LOG.warn("signals are neither blocked nor can they be handled: {}", e.getMessage());
    }
  }

  /** True once the process was told to stop. */
  public synchronized boolean stopAsked() {
    look();
    return stopAsked;
  }

  /** True once for signals to read the configuration again since the last call, as far as they show. */
  public synchronized boolean reloadAsked() {
    look();
    boolean asked = reloadAsked;
    reloadAsked = false;
    return asked;
  }

  private void look() {
    if (status == null) {
      return;
    }
    long pending = Math.max(0, mask("ShdPnd")) | Math.max(0, mask("SigPnd"));
    stopAsked |= (pending & (TERMINATE | INTERRUPT)) != 0;
    boolean hangup = (pending & HANGUP) != 0;
    reloadAsked |= hangup && !hangupSeen;
    hangupSeen |= hangup;
  }

  /** A mask of the status, -1 where it cannot be read just now. */
  private long mask(String name) {
    try {
      status.seek(0);
      int length = status.read(buffer);
      String text = new String(buffer, 0, Math.max(0, length), StandardCharsets.US_ASCII);
      int at = text.indexOf(name + ":\t");
      int end = text.indexOf('\n', at);
      return at < 0 || end < 0
          ? -1
          : Long.parseUnsignedLong(text.substring(at + name.length() + 2, end), HEX);
    } catch (IOException | NumberFormatException e) {
      return -1;
    }
  }
}
