package gorseladder.store;

import gorseladder.structures.DigestTable;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;
import java.util.ListIterator;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;
import java.util.stream.Stream;
import org.h2.mvstore.MVStoreException;

/**
 * The durable memory of messages: how far each got, and which signed requests were taken. An append-only log of
 * segments with tables in memory of where each record stands. Group commit: whoever needs durability puts its records,
 * gets a ticket and waits for it, and one thread writes whatever has gathered since its last write as one frame.
 *
 * <p>What a ticket's wait promises: after a kill of the process the record is there; with {@code sync} also after a
 * power cut. While writes or syncs fail (a full disk, an error of the device) nothing is promised: whoever waits gets
 * an exception, and {@link #hasRoom} says that nothing new should be taken. What was put is kept, within a bound, and
 * written again at the same place until that succeeds, so that the ends of calls in hand are not forgotten. A file that
 * cannot be removed is tried again.
 *
 * <p>What has expired is not found any more; its bytes go when all of its segment has expired. Bounded by age and by
 * number. Any thread; atomicity over several calls is the caller's.
 */
public final class Ledger implements Closeable {
  private static final String SUFFIX = ".segment";
  private static final String FORMER = ".mv";
  /**
   * A segment ends at this size, or at a part of the whole where that is more, so that there are never many to look
   * into.
   */
  private static final int SEGMENT_BYTES = 32 << 20;

  private static final int MOST_SEGMENT_BYTES = 1 << 30;
  private static final int SEGMENTS = 32;
  /**
   * A segment also ends when it has run for this part of the time its messages are kept, so that bytes go soon after
   * that.
   */
  private static final int TIME_PARTS = 16;
  /** Messages that expire within the same second are counted together. */
  private static final long COUNTED = 1_000_000;
  /** Bytes that gather before a write begins without being asked for. */
  private static final int MOST_GATHERED = 1 << 20;
  /** Bytes that are kept while they cannot be written; past it nothing more can be put. */
  private static final int MOST_UNWRITTEN = 32 << 20;
  /** A write that takes longer is told. */
  private static final long SLOW_WRITE_NANOS = 1_000_000_000;
  /** One step of a wait that has no bound of its own. */
  private static final long LONG_WAIT_NANOS = 1_000_000_000;
  /** Between two tries of a write that failed. */
  private static final long RETRY_NANOS = 50_000_000;

  private static final ThreadLocal<MessageDigest> SHA = ThreadLocal.withInitial(Digests::sha256);

  private final Path folder;
  private final boolean sync;
  private final int maxMessages;
  private final int segmentBytes;
  private final LedgerFiles files;
  private final FileChannel lockFile;
  /** Tables are keyed by a digest with this in it, so that no sender can choose where its messages come to stand. */
  private final byte[] salt = new byte[16];

  private final LedgerClock clock;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition changed = lock.newCondition();
  private final Thread committer;
  private final long boots;
  /** Oldest first; the last is written. Guarded by the lock, as is all below. */
  private final List<LedgerSegment> segments = new ArrayList<>();

  private final TreeMap<Long, Integer> expiring = new TreeMap<>();
  private final List<LedgerSegment> unremoved = new ArrayList<>();
  private Gathered pending = new Gathered();
  /** What is being written, or is to be written again; null where nothing is. */
  private Frame writing;

  private int count;
  private long seenBoots;
  private long issued;
  private long written;
  private long commits;
  private boolean wanted;
  private boolean closing;
  /** Why the last write failed; null where it did not. */
  private volatile Throwable failure;

  /** When the write that goes on began, in nanoseconds of the system's clock; 0 where none does. */
  private volatile long writingSince;

  private boolean ended;
  private volatile long now;

  private record Digest(long first, long second) {}

  /**
   * Where a record stands.
   *
   * @param inMemory the record, where it is not in its file yet; else null
   */
  private record Place(LedgerSegment segment, int at, LedgerRecord inMemory) {}

  /**
   * What one commit writes.
   *
   * @param at where in the segment's file
   * @param upTo the last ticket in it
   * @param seals no further frame of the segment comes after it
   */
  private record Frame(Gathered bytes, LedgerSegment to, int at, long upTo, boolean seals) {}

  /** A frame that gathers what is put; its head is filled in when it is written. */
  private static final class Gathered extends ByteArrayOutputStream {
    Gathered() {
      super(4096);
      writeBytes(new byte[LedgerSegment.FRAME_HEAD]);
    }

    boolean isEmpty() {
      return count == LedgerSegment.FRAME_HEAD;
    }

    LedgerRecord at(int at) {
      byte[] record = new byte[ByteBuffer.wrap(buf).getInt(at)];
      System.arraycopy(buf, at + 4, record, 0, record.length);
      return LedgerRecord.of(record);
    }

    ByteBuffer frame() {
      return ByteBuffer.wrap(buf, 0, count);
    }
  }

  private Ledger(Path folder, boolean sync, int maxMessages, int segmentBytes, LedgerFiles files)
      throws IOException {
    this.folder = folder;
    this.sync = sync;
    this.maxMessages = maxMessages;
    this.segmentBytes = segmentBytes;
    this.files = files;
    new SecureRandom().nextBytes(salt);
    Files.createDirectories(folder);
    lockFile = FileChannel.open(
        folder.resolve("lock"), StandardOpenOption.WRITE, StandardOpenOption.CREATE);
    try {
      if (lockFile.tryLock() == null) {
        throw new IOException("another process holds it");
      }
      load();
      clock = LedgerClock.open(folder);
    } catch (OverlappingFileLockException e) {
      lockFile.close();
      throw new IOException("it is open already", e);
    } catch (IOException | RuntimeException e) {
      release();
      throw e;
    }
    committer = new Thread(null, this::run, "ledger", 512 << 10);
    committer.setDaemon(true);
    committer.start();
    try {
      FormerLedger.takeOver(
          folder.resolveSibling(folder.getFileName() + FORMER), new FormerLedger.Taker() {
            @Override
            public void take(LedgerRecord record) throws LedgerException {
              add(record);
            }

            @Override
            public void written() throws IOException {
              await(issued);
            }
          });
      boots = nextBoot();
      await(add(new LedgerRecord(null, null, null, 0, boots)));
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
  }

  private long nextBoot() {
    lock.lock();
    try {
      return ++seenBoots;
    } finally {
      lock.unlock();
    }
  }

  private void load() throws IOException {
    List<Path> segmentFiles;
    try (Stream<Path> all = Files.list(folder)) {
      segmentFiles = all.filter(f -> f.toString().endsWith(SUFFIX)).sorted().toList();
    }
    for (Path file : segmentFiles) {
      String name = file.getFileName().toString();
      LedgerSegment segment = new LedgerSegment(
          file, Long.parseLong(name.substring(0, name.length() - SUFFIX.length()), 16), files);
      segments.add(segment);
      segment.load(
          file.equals(segmentFiles.get(segmentFiles.size() - 1)),
          (at, record) -> index(
              segment, at, record, digest('m', record.message()), digest('r', record.request())));
    }
    if (segments.isEmpty()) {
      begin(1);
    }
  }

  private void begin(long number) {
    segments.add(
        new LedgerSegment(folder.resolve(String.format("%016x%s", number, SUFFIX)), number, files));
    // Each segment knows the count of openings, as earlier ones go.
    pending.writeBytes(new LedgerRecord(null, null, null, 0, seenBoots).toBytes());
  }

  private LedgerSegment active() {
    return segments.get(segments.size() - 1);
  }

  /**
   * Opens the ledger in a folder, reading every record once, and writes to it, so that damage and a full disk are found
   * now. The file of a former format beside it is taken over.
   *
   * @throws LedgerException where it is damaged, held by another process, of another format or cannot be written
   */
  public static Ledger open(Path folder, boolean sync, int maxMessages) throws LedgerException {
    return open(folder, sync, maxMessages, LedgerFiles.DEFAULT);
  }

  /** As above, with a way to write that tests choose. */
  public static Ledger open(Path folder, boolean sync, int maxMessages, LedgerFiles files)
      throws LedgerException {
    return open(folder, sync, maxMessages, SEGMENT_BYTES, files);
  }

  /** As above, with the least size of a segment. */
  static Ledger open(
      Path folder, boolean sync, int maxMessages, int segmentBytes, LedgerFiles files)
      throws LedgerException {
    try {
      return new Ledger(folder, sync, maxMessages, segmentBytes, files);
    } catch (MVStoreException | IllegalArgumentException | IllegalStateException | IOException e) {
      String why = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
      throw new LedgerException(
          "ledger " + folder + " cannot be used: " + why
              + ". Nothing was changed. Way out: free the"
              + " disk or restore the folder; or move it away, but then no message before now is remembered: "
              + "let the edge take"
              + " no unsafe calls until the senders' retries are over.",
          e);
    }
  }

  /** How often this ledger was opened, this time included. */
  public long openCount() {
    return boots;
  }

  /** Messages remembered. */
  public long size() {
    lock.lock();
    try {
      return count;
    } finally {
      lock.unlock();
    }
  }

  /** True while records can be written and there is room for a further message. */
  public boolean hasRoom() {
    return failure == null && size() < maxMessages;
  }

  /** Why nothing can be written at present, or that a write takes long; null where all is well. */
  public String writeProblem() {
    Throwable why = failure;
    if (why != null) {
      return String.valueOf(why.getMessage());
    }
    long since = writingSince;
    boolean slow = since != 0 && System.nanoTime() - since > SLOW_WRITE_NANOS;
    return slow ? "a write has not ended for a second or more" : null;
  }

  /** The time by which it remembers and forgets. */
  public LedgerClock clock() {
    return clock;
  }

  /**
   * What is known of a message, or null. May wait for the disk.
   *
   * @throws LedgerException where its record cannot be read
   */
  public LedgerEntry get(String message) throws LedgerException {
    Place place = newest(message);
    LedgerRecord record = place == null ? null : read(place);
    boolean known = record != null && record.entry().keepUntil() > now;
    return known ? record.entry() : null;
  }

  /** True where something is known of a message, or was until lately; never waits for the disk. */
  public boolean isMessageIndexed(String message) {
    return newest(message) != null;
  }

  /**
   * Names the newest record of a message: the same number as long as no other one was put; -1 where there is none.
   * Never waits for the disk.
   */
  public long newestRecordId(String message) {
    Place place = newest(message);
    return place == null ? -1 : place.segment().number << Integer.SIZE | place.at();
  }

  private Place newest(String message) {
    Digest d = digest('m', message);
    lock.lock();
    try {
      for (ListIterator<LedgerSegment> it = segments.listIterator(segments.size());
          it.hasPrevious(); ) {
        LedgerSegment segment = it.previous();
        int at = segment.messages.get(d.first(), d.second());
        if (at >= 0) {
          return place(segment, at);
        }
      }
      return null;
    } finally {
      lock.unlock();
    }
  }

  /**
   * True where this signed request was taken before. May wait for the disk.
   *
   * @throws LedgerException where its record cannot be read
   */
  public boolean containsRequest(String request) throws LedgerException {
    for (Place place : ofRequest(request)) {
      LedgerRecord record = read(place);
      if (record != null && record.requestUntil() > now) {
        return true;
      }
    }
    return false;
  }

  /** True where a signed request stands in the tables, expired or not; never waits for the disk. */
  public boolean isRequestIndexed(String request) {
    return !ofRequest(request).isEmpty();
  }

  private List<Place> ofRequest(String request) {
    Digest d = digest('r', request);
    List<Place> places = new ArrayList<>(1);
    lock.lock();
    try {
      for (LedgerSegment segment : segments) {
        int at = segment.requests.get(d.first(), d.second());
        if (at >= 0) {
          places.add(place(segment, at));
        }
      }
      return places;
    } finally {
      lock.unlock();
    }
  }

  /** Records a message; returns the ticket to wait for. The first record of a message sets when it is forgotten. */
  public long put(String message, LedgerEntry entry) throws LedgerException {
    return put(message, entry, null, 0);
  }

  /** Records a message and the signed request it came with as one; the request may be null. */
  public long put(String message, LedgerEntry entry, String request, long requestUntil)
      throws LedgerException {
    return add(new LedgerRecord(message, entry, request, requestUntil, 0));
  }

  /** Records a signed request until it may be forgotten; returns the ticket to wait for. */
  public long putRequest(String request, long keepUntil) throws LedgerException {
    return add(new LedgerRecord(null, null, request, keepUntil, 0));
  }

  private long add(LedgerRecord record) throws LedgerException {
    // Digests and bytes are made before the lock is taken: every call passes here.
    byte[] bytes = record.toBytes();
    Digest message = digest('m', record.message());
    Digest request = digest('r', record.request());
    lock.lock();
    try {
      if (failure != null && pending.size() > MOST_UNWRITTEN) {
        throw unwritable();
      }
      LedgerSegment segment = active();
      int at = segment.end + pending.size();
      pending.writeBytes(bytes);
      index(segment, at, record, message, request);
      if (pending.size() > MOST_GATHERED && !wanted) {
        want();
      }
      return ++issued;
    } finally {
      lock.unlock();
    }
  }

  private void index(
      LedgerSegment segment, int at, LedgerRecord record, Digest message, Digest request) {
    seenBoots = Math.max(seenBoots, record.boots());
    segment.begunAt = segment.begunAt == 0 ? now : segment.begunAt;
    if (message != null) {
      long until = record.entry().keepUntil();
      boolean known =
          segments.stream().anyMatch(s -> s.messages.get(message.first(), message.second()) >= 0);
      segment.messages.put(message.first(), message.second(), at);
      segment.messagesUntil = Math.max(segment.messagesUntil, until);
      if (!known && until > now) {
        count++;
        expiring.merge(Math.floorDiv(until, COUNTED), 1, Integer::sum);
      }
    }
    if (request != null) {
      segment.requests.put(request.first(), request.second(), at);
      segment.requestsUntil = Math.max(segment.requestsUntil, record.requestUntil());
    }
  }

  /** Where a record is that was put: it may be gathered, being written, or in its file. The lock is held. */
  private Place place(LedgerSegment segment, int at) {
    LedgerRecord inMemory = null;
    if (segment == active() && at >= segment.end) {
      inMemory = pending.at(at - segment.end);
    } else if (writing != null && segment == writing.to() && at >= writing.at()) {
      inMemory = writing.bytes().at(at - writing.at());
    }
    return new Place(segment, at, inMemory);
  }

  /**
   * The record at a place; null where its segment was dropped meanwhile, with all in it expired. The lock is not held.
   *
   * <p>Guards against a disk that is slow to read: every call passes the lock, and the core's thread too, so one repeat
   * whose record was read with it held stopped all others for as long.
   */
  private LedgerRecord read(Place place) throws LedgerException {
    if (place.inMemory() != null) {
      return place.inMemory();
    }
    try {
      return place.segment().read(place.at());
    } catch (IOException | IllegalArgumentException e) {
      if (dropped(place.segment())) {
        return null;
      }
      throw new LedgerException("ledger " + folder + " cannot be read: " + e.getMessage(), e);
    }
  }

  private boolean dropped(LedgerSegment segment) {
    lock.lock();
    try {
      return !segments.contains(segment);
    } finally {
      lock.unlock();
    }
  }

  /** Where a name stands in the tables; null for none. */
  private Digest digest(char kind, String name) {
    if (name == null) {
      return null;
    }
    MessageDigest sha = SHA.get();
    sha.update(salt);
    sha.update((byte) kind);
    ByteBuffer out = ByteBuffer.wrap(sha.digest(name.getBytes(StandardCharsets.UTF_8)));
    return new Digest(out.getLong(), out.getLong());
  }

  private LedgerException unwritable() {
    Throwable why = failure;
    String said = why == null ? "it is closed" : why.getMessage();
    return new LedgerException("ledger " + folder + " cannot be written: " + said, why);
  }

  private void want() {
    wanted = true;
    changed.signalAll();
  }

  /** Lets the record be written soon, without waiting. */
  public void flushSoon() {
    lock.lock();
    try {
      want();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until everything up to the ticket is written.
   *
   * @throws LedgerException where it cannot be written at present; it may be later
   */
  public void await(long ticket) throws LedgerException {
    while (!await(ticket, LONG_WAIT_NANOS)) {
      continue;
    }
  }

  /**
   * Waits so long at the most until everything up to the ticket is written; false where it was not by then, and nothing
   * is promised.
   *
   * @throws LedgerException where it cannot be written at present; it may be later
   */
  public boolean await(long ticket, long nanos) throws LedgerException {
    long end = System.nanoTime() + nanos;
    boolean interrupted = false;
    lock.lock();
    try {
      if (written < ticket) {
        want();
      }
      for (long left = nanos;
          written < ticket && failure == null && !ended && left > 0;
          left = end - System.nanoTime()) {
        try {
          changed.awaitNanos(left);
        } catch (InterruptedException e) {
          // What is waited for is a record that must not be doubted: the wait goes on.
          interrupted = true;
        }
      }
      if (written < ticket && (failure != null || ended)) {
        throw unwritable();
      }
      return written >= ticket;
    } finally {
      lock.unlock();
      if (interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Forgets what may be forgotten by this time (microseconds since 1970); its bytes go at the next commits. */
  public void expireUntil(long time) {
    lock.lock();
    try {
      now = Math.max(now, time);
      for (Map.Entry<Long, Integer> e = expiring.firstEntry();
          e != null && e.getKey() * COUNTED < now;
          e = expiring.firstEntry()) {
        count -= e.getValue();
        expiring.pollFirstEntry();
      }
      want();
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    boolean goesOn = true;
    while (goesOn) {
      lock.lock();
      try {
        while (!wanted && !closing && failure == null) {
          changed.awaitUninterruptibly();
        }
        wanted = false;
        goesOn = !closing;
      } finally {
        lock.unlock();
      }
      if (commit()) {
        dropExpired();
      } else {
        pause();
      }
    }
    lock.lock();
    try {
      ended = true;
      changed.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void pause() {
    lock.lock();
    try {
      long left = RETRY_NANOS;
      while (left > 0 && !closing) {
        left = changed.awaitNanos(left);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Writes what has gathered, or what could not be written before; false where it fails, and then it is to be tried
   * again.
   */
  private boolean commit() {
    Frame frame;
    lock.lock();
    try {
      writing = writing == null ? gathered() : writing;
      frame = writing;
    } finally {
      lock.unlock();
    }
    Throwable failed = null;
    writingSince = Math.max(1, System.nanoTime());
    try {
      if (!frame.bytes().isEmpty()) {
        frame.to().append(frame.bytes().frame(), frame.at(), sync);
      }
      if (frame.seals()) {
        frame.to().seal();
      }
    } catch (IOException | RuntimeException | Error e) {
      // Whatever ends the writing ends the waiting too.
      failed = e;
    } finally {
      writingSince = 0;
    }
    lock.lock();
    try {
      failure = failed;
      if (failed == null) {
        commits += frame.bytes().isEmpty() ? 0 : 1;
        written = Math.max(written, frame.upTo());
        writing = null;
      }
      changed.signalAll();
    } finally {
      lock.unlock();
    }
    return failed == null;
  }

  /** What has gathered, as a frame; a segment that is full by then gets no further one. The lock is held. */
  private Frame gathered() {
    LedgerSegment to = active();
    int at = to.end;
    Gathered bytes = pending;
    if (!bytes.isEmpty()) {
      to.end += bytes.size();
      pending = new Gathered();
    }
    boolean seals = full(to);
    if (seals) {
      begin(to.number + 1);
    }
    return new Frame(bytes, to, at, issued, seals);
  }

  private boolean full(LedgerSegment segment) {
    long all = segments.stream().mapToLong(s -> s.end).sum();
    boolean large =
        segment.end >= Math.min(MOST_SEGMENT_BYTES, Math.max(segmentBytes, all / SEGMENTS));
    boolean old = segment.begunAt > 0
        && now - segment.begunAt > (segment.until() - segment.begunAt) / TIME_PARTS;
    return segment.end > LedgerSegment.HEAD && (large || old);
  }

  /** Files and tables of which nothing is remembered any more; the last file stays, it will be written. */
  private void dropExpired() {
    lock.lock();
    try {
      for (LedgerSegment s : List.copyOf(segments.subList(0, segments.size() - 1))) {
        if (s.requestsUntil <= now && s.requests.size() > 0) {
          s.requests = new DigestTable();
        }
        if (s.until() <= now) {
          segments.remove(s);
          unremoved.add(s);
        }
      }
    } finally {
      lock.unlock();
    }
    unremoved.removeIf(Ledger::removed);
  }

  private static boolean removed(LedgerSegment segment) {
    try {
      segment.drop();
      return true;
    } catch (IOException e) {
      // Of no consequence but for its bytes; tried again at the next commit.
      return false;
    }
  }

  /** Commits so far; for measurements. */
  public long commitCount() {
    lock.lock();
    try {
      return commits;
    } finally {
      lock.unlock();
    }
  }

  /** Writes what was put and closes the files. */
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
    release();
  }

  private void release() {
    try {
      for (LedgerSegment s : segments) {
        s.close();
      }
      lockFile.close();
    } catch (IOException e) {
      failure = failure == null ? e : failure;
    }
  }
}
