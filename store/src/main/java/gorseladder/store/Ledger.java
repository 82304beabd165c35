package gorseladder.store;

import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;

/**
 * The durable memory of messages: how far each got, and which signed requests were taken. On an embedded store (H2
 * MVStore), written by group commit: whoever needs durability puts its records, gets a ticket and waits for it, and one
 * thread commits whatever has gathered since its last commit.
 *
 * <p>What a ticket's wait promises: after a kill of the process the record is there; with {@code sync} also after a power
 * cut. A failed write (a full disk) makes the ledger unavailable for good in this process, since what was put but not
 * written cannot be told apart from what was; waiting callers and all later ones get an exception.
 *
 * <p>Bounded by age and by number. Any thread; atomicity over several calls is the caller's.
 */
public final class Ledger implements Closeable {
  private static final String FORMAT = "2";
  /** The format before: expiry was keyed by time alone. Brought up to date when it is opened. */
  private static final String FORMER = "1";
  private static final int MOST_EXPIRED_AT_ONCE = 2_000;
  private static final int EXPIRY_DIGITS = 16;
  private static final long COMPACT_EVERY = 64;
  private static final int COMPACT_BYTES = 8 << 20;

  private final Path file;
  private final boolean sync;
  private final int maxMessages;
  private final MVStore store;
  private final MVMap<String, byte[]> messages;
  private final MVMap<String, Long> requests;
  private final MVMap<String, Boolean> expiry;
  private final AtomicLong issued = new AtomicLong();
  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Thread committer;
  private final long boots;
  private long written;
  private long commits;
  private boolean wanted;
  private boolean closing;
  private volatile RuntimeException broken;
  private volatile long now;

  private Ledger(Path file, boolean sync, int maxMessages, MVStore store) {
    this.file = file;
    this.sync = sync;
    this.maxMessages = maxMessages;
    this.store = store;
    messages = store.openMap("messages");
    requests = store.openMap("requests");
    MVMap<String, String> about = store.openMap("about");
    String format = about.getOrDefault("format", FORMAT);
    if (!format.equals(FORMAT) && !format.equals(FORMER)) {
      throw new IllegalArgumentException("its format is " + format + " and this program reads " + FORMAT);
    }
    expiry = store.openMap("expires");
    if (format.equals(FORMER)) {
      upgrade();
    }
    about.put("format", FORMAT);
    boots = Long.parseLong(about.getOrDefault("boots", "0")) + 1;
    about.put("boots", Long.toString(boots));
    for (String key : messages.keySet()) {
      try {
        LedgerEntry.of(messages.get(key));
      } catch (IllegalArgumentException e) {
        throw new IllegalArgumentException("the entry of a message is damaged (" + e.getMessage() + ")", e);
      }
    }
    store.commit();
    store.sync();
    committer = new Thread(null, this::run, "ledger", 512 << 10);
    committer.setDaemon(true);
    committer.start();
  }

  /** Keys of the former format moved to this one's; a crash in between is made good by doing it again. */
  private void upgrade() {
    MVMap<Long, String> former = store.openMap("expiry");
    for (var at = former.cursor(null); at.hasNext(); ) {
      forgetAt(at.next(), at.getValue());
    }
    store.removeMap(former);
  }

  /**
   * Opens the ledger, reading every entry once, and writes to it, so that damage and a full disk are found now.
   *
   * @throws LedgerException where it is damaged, held by another process, of another format or cannot be written
   */
  public static Ledger open(Path file, boolean sync, int maxMessages) throws LedgerException {
    return open(file, file.toString(), sync, maxMessages);
  }

  /** As above, with the store's own name for the file (tests give it a file system that fails). */
  static Ledger open(Path file, String storeName, boolean sync, int maxMessages) throws LedgerException {
    MVStore store = null;
    try {
      Path folder = file.toAbsolutePath().getParent();
      Files.createDirectories(folder);
      store = new MVStore.Builder().fileName(storeName).autoCommitDisabled().cacheSize(8).open();
      store.setVersionsToKeep(0);
      return new Ledger(file, sync, maxMessages, store);
    } catch (MVStoreException | IllegalArgumentException | IllegalStateException | IOException e) {
      if (store != null) {
        store.closeImmediately();
      }
      String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new LedgerException("ledger " + file + " cannot be used: " + why + ". Nothing was changed. Way out: free the"
          + " disk or restore the file; or move it away, but then no message before now is remembered: let the edge take"
          + " no unsafe calls until the senders' retries are over.", e);
    }
  }

  /** How often this file was opened, this time included. */
  public long boots() {
    return boots;
  }

  /** Messages remembered. */
  public long size() {
    return messages.sizeAsLong();
  }

  /** True while records can be written and there is room for a further message. */
  public boolean hasRoom() {
    return broken == null && messages.sizeAsLong() < maxMessages;
  }

  /** What is known of a message, or null. */
  public LedgerEntry get(String message) {
    byte[] bytes = messages.get(message);
    return bytes == null ? null : LedgerEntry.of(bytes);
  }

  /** True where this signed request was taken before. */
  public boolean seen(String request) {
    return requests.containsKey(request);
  }

  /** Records a message; returns the ticket to wait for. The first record of a message sets when it is forgotten. */
  public long put(String message, LedgerEntry entry) throws LedgerException {
    requireWritable();
    if (messages.put(message, entry.toBytes()) == null) {
      forgetAt(entry.keepUntil(), "m" + message);
    }
    return issued.incrementAndGet();
  }

  /** Records a signed request until it may be forgotten; returns the ticket to wait for. */
  public long putRequest(String request, long keepUntil) throws LedgerException {
    requireWritable();
    requests.put(request, keepUntil);
    forgetAt(keepUntil, "r" + request);
    return issued.incrementAndGet();
  }

  /**
   * Notes when a record may be forgotten. The key holds the time and then the record's own name, so that any number of
   * records may share one time: keyed by time alone, each had to step past all that stood there, and the records of a second
   * (a webhook's time stamp has whole seconds) cost the square of their number. It could harm where names are very long, as
   * the key repeats them.
   */
  private void forgetAt(long at, String what) {
    expiry.put(expiryKey(at) + what, Boolean.TRUE);
  }

  private static String expiryKey(long at) {
    String digits = Long.toHexString(Math.max(0, at));
    return "0".repeat(EXPIRY_DIGITS - digits.length()) + digits;
  }

  private void requireWritable() throws LedgerException {
    if (broken != null) {
      throw new LedgerException("ledger " + file + " cannot be written: " + broken.getMessage(), broken);
    }
  }

  /** Lets the record be written soon, without waiting. */
  public void soon() {
    lock.lock();
    try {
      wanted = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** Waits until everything up to the ticket is written. */
  public void await(long ticket) throws LedgerException {
    lock.lock();
    try {
      wanted = true;
      changed.signalAll();
      while (written < ticket && broken == null) {
        changed.awaitUninterruptibly();
      }
    } finally {
      lock.unlock();
    }
    requireWritable();
  }

  /** Forgets, at the next commits, what may be forgotten by this time (microseconds since 1970). */
  public void forgetUntil(long time) {
    now = time;
    soon();
  }

  private void run() {
    while (true) {
      long upTo;
      lock.lock();
      try {
        while (!wanted && !closing) {
          changed.awaitUninterruptibly();
        }
        wanted = false;
        upTo = issued.get();
        if (closing && (written >= upTo || broken != null)) {
          return;
        }
      } finally {
        lock.unlock();
      }
      commit(upTo);
    }
  }

  private void commit(long upTo) {
    RuntimeException failure = null;
    try {
      forgetOld();
      store.commit();
      if (sync) {
        store.sync();
      }
      if (++commits % COMPACT_EVERY == 0) {
        store.compact(50, COMPACT_BYTES);
      }
    } catch (RuntimeException e) {
      failure = e;
    }
    lock.lock();
    try {
      broken = failure;
      written = failure == null ? Math.max(written, upTo) : written;
      closing |= failure != null;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  /** A message recorded anew after a repeat keeps its first time to be forgotten; signatures likewise. */
  private void forgetOld() {
    String until = expiryKey(now);
    List<String> gone = new ArrayList<>();
    for (var at = expiry.keyIterator(null); at.hasNext() && gone.size() < MOST_EXPIRED_AT_ONCE; ) {
      String key = at.next();
      if (key.substring(0, EXPIRY_DIGITS).compareTo(until) > 0) {
        break;
      }
      gone.add(key);
    }
    for (String key : gone) {
      expiry.remove(key);
      String name = key.substring(EXPIRY_DIGITS + 1);
      if (key.charAt(EXPIRY_DIGITS) == 'm') {
        messages.remove(name);
      } else {
        requests.remove(name);
      }
    }
  }

  /** Commits so far; for measurements. */
  public long commits() {
    lock.lock();
    try {
      return commits;
    } finally {
      lock.unlock();
    }
  }

  /** Writes what was put and closes the file. */
  @Override
  public void close() {
    lock.lock();
    try {
      closing = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    try {
      committer.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (broken == null) {
      store.close();
    } else {
      store.closeImmediately();
    }
  }
}
