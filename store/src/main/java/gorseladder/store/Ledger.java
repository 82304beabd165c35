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
 * Durable store of message states and of accepted signed requests: an append-only log of segment files with an
 * in-memory index from message and request to the offset of the record. Uses group commit: a caller puts records, gets
 * a ticket and awaits it, and one thread writes everything put since its last write as one frame.
 *
 * <p>An awaited record survives a kill of the process; with {@code sync} also a power loss. While writes or syncs fail
 * (full disk, device error) there is no durability: waiting callers get an exception, and {@link #hasRoom} tells
 * callers to accept nothing new. Records already put are kept in memory, up to a limit, and the write is retried at the
 * same offset until it succeeds, so that outcomes of calls in progress are not lost. Failed file deletions are retried.
 *
 * <p>Expired records are no longer returned; their file is deleted once all of its records have expired. Age and number
 * of messages are bounded. Thread-safe; callers that need several operations to be atomic synchronize themselves.
 */
public final class Ledger implements Closeable {
  private static final String SEGMENT_SUFFIX = ".segment";
  private static final String LEGACY_SUFFIX = ".mv";
  /** Minimum size at which a segment counts as full. */
  private static final int MIN_SEGMENT_BYTES = 32 << 20;

  private static final int MAX_SEGMENT_BYTES = 1 << 30;
  /** In a large ledger a segment is full at this part of all bytes: few segments, as a lookup searches each. */
  private static final int TARGET_SEGMENTS = 32;
  /** A segment is also full after this part of its retention time, so that its file is deleted soon after expiry. */
  private static final int SEGMENTS_PER_RETENTION = 16;

  private static final long EXPIRY_BUCKET_MICROS = 1_000_000;
  /** Pending bytes above which a write starts without a request. */
  private static final int FLUSH_THRESHOLD_BYTES = 1 << 20;
  /** Pending bytes above which records are rejected while writes fail. */
  private static final int MAX_UNWRITTEN_BYTES = 32 << 20;
  /** {@link #writeProblem} reports a write that takes longer. */
  private static final long SLOW_WRITE_NANOS = 1_000_000_000;

  private static final long WAIT_STEP_NANOS = 1_000_000_000;
  private static final long RETRY_NANOS = 50_000_000;

  private final Path folder;
  private final boolean sync;
  private final int maxMessages;
  private final int segmentBytes;
  private final LedgerFiles files;
  private final FileChannel lockFile;
  /** Secret part of the index digests, so that senders cannot choose colliding index slots. */
  private final byte[] salt = new byte[16];

  private final LedgerClock clock;

  private final ReentrantLock lock = new ReentrantLock();
  private final Condition stateChanged = lock.newCondition();
  private final Thread committer;
  private final long openCount;
  /** Oldest first; frames go to the last. Guarded by {@link #lock}, like the fields below unless stated otherwise. */
  private final List<LedgerSegment> segments = new ArrayList<>();

  /** Number of messages by {@code keepUntil / EXPIRY_BUCKET_MICROS}. */
  private final TreeMap<Long, Integer> expiryCounts = new TreeMap<>();
  /** Used by the committer thread only. */
  private final List<LedgerSegment> segmentsToDelete = new ArrayList<>();

  private FrameBuffer pending = new FrameBuffer();
  /** The frame that is being written or retried, or null. */
  private Frame frameInProgress;

  private int messageCount;
  private long latestOpenCount;
  private long lastTicket;
  private long writtenTicket;
  private long commitCount;
  private boolean commitRequested;
  private boolean closing;
  /** Cause of the last write's failure, or null if it succeeded. */
  private volatile Throwable writeFailure;

  /** {@link System#nanoTime} at the start of the current write; 0 if none is running. */
  private volatile long writeStartNanos;

  private boolean committerStopped;
  /** Latest time passed to {@link #expireUntil}, in microseconds. */
  private volatile long now;

  private record Digest(long first, long second) {}

  /**
   * Position of a record.
   *
   * @param inMemory the record if it is not yet in its file, else null
   */
  private record RecordLocation(LedgerSegment segment, int offset, LedgerRecord inMemory) {}

  /**
   * The unit of one commit.
   *
   * @param offset offset in the segment file
   * @param lastTicket highest ticket covered by the frame
   * @param sealsSegment true if this is the last frame of the segment
   */
  private record Frame(
      FrameBuffer buffer,
      LedgerSegment segment,
      int offset,
      long lastTicket,
      boolean sealsSegment) {}

  /** Collects records for the next frame; the header is filled in when the frame is written. */
  private static final class FrameBuffer extends ByteArrayOutputStream {
    FrameBuffer() {
      super(4096);
      writeBytes(new byte[LedgerSegment.FRAME_HEADER_BYTES]);
    }

    boolean isEmpty() {
      return count == LedgerSegment.FRAME_HEADER_BYTES;
    }

    LedgerRecord recordAt(int offset) {
      byte[] record = new byte[ByteBuffer.wrap(buf).getInt(offset)];
      System.arraycopy(buf, offset + 4, record, 0, record.length);
      return LedgerRecord.of(record);
    }

    ByteBuffer toByteBuffer() {
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
      loadSegments();
      clock = LedgerClock.open(folder);
    } catch (OverlappingFileLockException e) {
      lockFile.close();
      throw new IOException("it is already open in this process", e);
    } catch (IOException | RuntimeException e) {
      closeFiles();
      throw e;
    }
    committer = new Thread(null, this::run, "ledger", 512 << 10);
    committer.setDaemon(true);
    committer.start();
    try {
      LegacyLedgerImport.importFrom(
          folder.resolveSibling(folder.getFileName() + LEGACY_SUFFIX),
          new LegacyLedgerImport.RecordReceiver() {
            @Override
            public void receive(LedgerRecord record) throws LedgerException {
              add(record);
            }

            @Override
            public void awaitWritten() throws IOException {
              await(lastTicket);
            }
          });
      openCount = incrementOpenCount();
      await(add(new LedgerRecord(null, null, null, 0, openCount)));
    } catch (IOException | RuntimeException e) {
      close();
      throw e;
    }
  }

  private long incrementOpenCount() {
    lock.lock();
    try {
      return ++latestOpenCount;
    } finally {
      lock.unlock();
    }
  }

  private void loadSegments() throws IOException {
    List<Path> segmentFiles;
    try (Stream<Path> all = Files.list(folder)) {
      segmentFiles =
          all.filter(f -> f.toString().endsWith(SEGMENT_SUFFIX)).sorted().toList();
    }
    for (Path file : segmentFiles) {
      String name = file.getFileName().toString();
      LedgerSegment segment = new LedgerSegment(
          file,
          Long.parseLong(name.substring(0, name.length() - SEGMENT_SUFFIX.length()), 16),
          files);
      segments.add(segment);
      segment.load(
          file.equals(segmentFiles.get(segmentFiles.size() - 1)),
          (offset, record) -> index(
              segment,
              offset,
              record,
              digest('m', record.message()),
              digest('r', record.request())));
    }
    if (segments.isEmpty()) {
      startSegment(1);
    }
  }

  private void startSegment(long number) {
    segments.add(new LedgerSegment(
        folder.resolve(String.format("%016x%s", number, SEGMENT_SUFFIX)), number, files));
    // Each segment holds the open count, since older segments are deleted.
    pending.writeBytes(new LedgerRecord(null, null, null, 0, latestOpenCount).toBytes());
  }

  private LedgerSegment activeSegment() {
    return segments.get(segments.size() - 1);
  }

  /**
   * Opens the ledger in a folder. Reads every record and writes one, so that corruption and a full disk are detected
   * here. Imports a legacy ledger file next to the folder.
   *
   * @throws LedgerException if the ledger is damaged, locked, of an unknown format or not writable
   */
  public static Ledger open(Path folder, boolean sync, int maxMessages) throws LedgerException {
    return open(folder, sync, maxMessages, LedgerFiles.DEFAULT);
  }

  /** Opens the ledger with the given file operations, which tests replace. */
  public static Ledger open(Path folder, boolean sync, int maxMessages, LedgerFiles files)
      throws LedgerException {
    return open(folder, sync, maxMessages, MIN_SEGMENT_BYTES, files);
  }

  /** Opens the ledger with the given minimum segment size. */
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

  /** Number of times this ledger was opened, including this one. */
  public long openCount() {
    return openCount;
  }

  /** Number of messages that have not expired. */
  public long size() {
    lock.lock();
    try {
      return messageCount;
    } finally {
      lock.unlock();
    }
  }

  /** True if the last write succeeded and the ledger holds fewer than the maximum number of messages. */
  public boolean hasRoom() {
    return writeFailure == null && size() < maxMessages;
  }

  /** Describes a failed or slow write; null if there is none. */
  public String writeProblem() {
    Throwable why = writeFailure;
    if (why != null) {
      return String.valueOf(why.getMessage());
    }
    long since = writeStartNanos;
    boolean slow = since != 0 && System.nanoTime() - since > SLOW_WRITE_NANOS;
    return slow ? "a write has not ended for a second or more" : null;
  }

  /** The clock that expiry times refer to. */
  public LedgerClock clock() {
    return clock;
  }

  /**
   * Returns the latest entry of a message, or null if there is none or it has expired. May read from disk.
   *
   * @throws LedgerException if the record cannot be read
   */
  public LedgerEntry get(String message) throws LedgerException {
    RecordLocation location = newestLocation(message);
    LedgerRecord record = location == null ? null : read(location);
    boolean known = record != null && record.entry().keepUntil() > now;
    return known ? record.entry() : null;
  }

  /** True if the index holds the message, expired or not. Never reads from disk. */
  public boolean isMessageIndexed(String message) {
    return newestLocation(message) != null;
  }

  /**
   * Returns an identifier of the newest record of a message, which changes with each put; -1 if there is none. Never
   * reads from disk.
   */
  public long newestRecordId(String message) {
    RecordLocation location = newestLocation(message);
    return location == null ? -1 : location.segment().number << Integer.SIZE | location.offset();
  }

  private RecordLocation newestLocation(String message) {
    Digest d = digest('m', message);
    lock.lock();
    try {
      for (ListIterator<LedgerSegment> it = segments.listIterator(segments.size());
          it.hasPrevious(); ) {
        LedgerSegment segment = it.previous();
        int offset = segment.messageOffsets.get(d.first(), d.second());
        if (offset >= 0) {
          return locate(segment, offset);
        }
      }
      return null;
    } finally {
      lock.unlock();
    }
  }

  /**
   * True if this signed request is recorded and has not expired. May read from disk.
   *
   * @throws LedgerException if the record cannot be read
   */
  public boolean containsRequest(String request) throws LedgerException {
    for (RecordLocation location : requestLocations(request)) {
      LedgerRecord record = read(location);
      if (record != null && record.requestKeepUntil() > now) {
        return true;
      }
    }
    return false;
  }

  /** True if the index holds the signed request, expired or not. Never reads from disk. */
  public boolean isRequestIndexed(String request) {
    return !requestLocations(request).isEmpty();
  }

  /** Returns a key of a signed request for this ledger. */
  public RequestKey requestKey(String name) {
    Digest d = digest('r', name);
    return new RequestKey(name, d.first(), d.second());
  }

  /** True if the index holds any of the keys of signed requests, expired or not. Never reads from disk. */
  public boolean isAnyRequestIndexed(List<RequestKey> requests) {
    lock.lock();
    try {
      for (LedgerSegment segment : segments) {
        for (RequestKey request : requests) {
          if (segment.requestOffsets.get(request.first(), request.second()) >= 0) {
            return true;
          }
        }
      }
      return false;
    } finally {
      lock.unlock();
    }
  }

  private List<RecordLocation> requestLocations(String request) {
    Digest d = digest('r', request);
    List<RecordLocation> locations = new ArrayList<>(1);
    lock.lock();
    try {
      for (LedgerSegment segment : segments) {
        int offset = segment.requestOffsets.get(d.first(), d.second());
        if (offset >= 0) {
          locations.add(locate(segment, offset));
        }
      }
      return locations;
    } finally {
      lock.unlock();
    }
  }

  /**
   * Records a message and returns the ticket to await.
   *
   * @param entry later entries of a message keep the {@code keepUntil} of the first, by which {@link #size} counts it
   */
  public long put(String message, LedgerEntry entry) throws LedgerException {
    return put(message, entry, List.of(), 0);
  }

  /** Records a message and a signed request that has one key. */
  public long put(String message, LedgerEntry entry, String request, long requestKeepUntil)
      throws LedgerException {
    return put(message, entry, List.of(requestKey(request)), requestKeepUntil);
  }

  /** Records a signed request that has one key. */
  public long putRequest(String request, long keepUntil) throws LedgerException {
    return putRequests(List.of(requestKey(request)), keepUntil);
  }

  /**
   * Records a message and all keys of its signed request, in the same commit, and returns the ticket to await.
   *
   * @param requests keys of the signed request; may be empty
   * @param requestKeepUntil expiry time of the keys
   */
  public long put(
      String message, LedgerEntry entry, List<RequestKey> requests, long requestKeepUntil)
      throws LedgerException {
    List<PreparedRecord> records = new ArrayList<>(Math.max(1, requests.size()));
    RequestKey first = requests.isEmpty() ? null : requests.get(0);
    String firstName = first == null ? null : first.name();
    records.add(prepare(
        new LedgerRecord(message, entry, firstName, requestKeepUntil, 0),
        digest('m', message),
        first));
    for (RequestKey request : requests.subList(Math.min(1, requests.size()), requests.size())) {
      records.add(prepare(request, requestKeepUntil));
    }
    return add(records);
  }

  /** Records all keys of a signed request until their expiry time, in the same commit. */
  public long putRequests(List<RequestKey> requests, long keepUntil) throws LedgerException {
    List<PreparedRecord> records = new ArrayList<>(requests.size());
    for (RequestKey request : requests) {
      records.add(prepare(request, keepUntil));
    }
    return add(records);
  }

  private long add(LedgerRecord record) throws LedgerException {
    RequestKey request = record.request() == null ? null : requestKey(record.request());
    return add(List.of(prepare(record, digest('m', record.message()), request)));
  }

  /** A record with its index keys and bytes, which are computed before the lock is taken, since every call takes it. */
  private record PreparedRecord(
      LedgerRecord record, byte[] bytes, Digest message, Digest request) {}

  private static PreparedRecord prepare(RequestKey request, long keepUntil) {
    return prepare(new LedgerRecord(null, null, request.name(), keepUntil, 0), null, request);
  }

  private static PreparedRecord prepare(LedgerRecord record, Digest message, RequestKey request) {
    Digest requestDigest = request == null ? null : new Digest(request.first(), request.second());
    return new PreparedRecord(record, record.toBytes(), message, requestDigest);
  }

  private long add(List<PreparedRecord> records) throws LedgerException {
    lock.lock();
    try {
      if (writeFailure != null && pending.size() > MAX_UNWRITTEN_BYTES) {
        throw writeException();
      }
      LedgerSegment segment = activeSegment();
      for (PreparedRecord next : records) {
        int offset = segment.endOffset + pending.size();
        pending.writeBytes(next.bytes());
        index(segment, offset, next.record(), next.message(), next.request());
      }
      if (pending.size() > FLUSH_THRESHOLD_BYTES && !commitRequested) {
        requestCommit();
      }
      return ++lastTicket;
    } finally {
      lock.unlock();
    }
  }

  private void index(
      LedgerSegment segment, int offset, LedgerRecord record, Digest message, Digest request) {
    latestOpenCount = Math.max(latestOpenCount, record.openCount());
    segment.firstRecordAt = segment.firstRecordAt == 0 ? now : segment.firstRecordAt;
    if (message != null) {
      long keepUntil = record.entry().keepUntil();
      boolean known = isIndexed(message);
      segment.messageOffsets.put(message.first(), message.second(), offset);
      segment.messagesKeepUntil = Math.max(segment.messagesKeepUntil, keepUntil);
      if (!known && keepUntil > now) {
        messageCount++;
        expiryCounts.merge(Math.floorDiv(keepUntil, EXPIRY_BUCKET_MICROS), 1, Integer::sum);
      }
    }
    if (request != null) {
      segment.requestOffsets.put(request.first(), request.second(), offset);
      segment.requestsKeepUntil = Math.max(segment.requestsKeepUntil, record.requestKeepUntil());
    }
  }

  private boolean isIndexed(Digest message) {
    for (LedgerSegment segment : segments) {
      if (segment.messageOffsets.get(message.first(), message.second()) >= 0) {
        return true;
      }
    }
    return false;
  }

  /** Locates a record in the pending buffer, the frame in progress or its file. The caller holds the lock. */
  private RecordLocation locate(LedgerSegment segment, int offset) {
    LedgerRecord inMemory = null;
    if (segment == activeSegment() && offset >= segment.endOffset) {
      inMemory = pending.recordAt(offset - segment.endOffset);
    } else if (frameInProgress != null
        && segment == frameInProgress.segment()
        && offset >= frameInProgress.offset()) {
      inMemory = frameInProgress.buffer().recordAt(offset - frameInProgress.offset());
    }
    return new RecordLocation(segment, offset, inMemory);
  }

  /**
   * Reads the record at a location; null if its segment was dropped meanwhile because everything in it expired.
   *
   * <p>The caller does not hold the lock: every call and the core's thread take it, so a slow disk read of one
   * repeated message under the lock would stop all other calls.
   */
  private LedgerRecord read(RecordLocation location) throws LedgerException {
    if (location.inMemory() != null) {
      return location.inMemory();
    }
    try {
      return location.segment().read(location.offset());
    } catch (IOException | IllegalArgumentException e) {
      if (isDropped(location.segment())) {
        return null;
      }
      throw new LedgerException("ledger " + folder + " cannot be read: " + e.getMessage(), e);
    }
  }

  private boolean isDropped(LedgerSegment segment) {
    lock.lock();
    try {
      return !segments.contains(segment);
    } finally {
      lock.unlock();
    }
  }

  /** Returns the index key of a message or request; null for null. */
  private Digest digest(char kind, String name) {
    if (name == null) {
      return null;
    }
    byte[] kindByte = {(byte) kind};
    ByteBuffer out =
        ByteBuffer.wrap(Digests.sha256(salt, kindByte, name.getBytes(StandardCharsets.UTF_8)));
    return new Digest(out.getLong(), out.getLong());
  }

  private LedgerException writeException() {
    Throwable why = writeFailure;
    String reason = why == null ? "it is closed" : why.getMessage();
    return new LedgerException("ledger " + folder + " cannot be written: " + reason, why);
  }

  private void requestCommit() {
    commitRequested = true;
    stateChanged.signalAll();
  }

  /** Starts a write of the pending records without waiting for it. */
  public void flushSoon() {
    lock.lock();
    try {
      requestCommit();
    } finally {
      lock.unlock();
    }
  }

  /**
   * Waits until all records up to the ticket are written.
   *
   * @throws LedgerException if writing fails now; a retry may still write the records later
   */
  public void await(long ticket) throws LedgerException {
    while (!await(ticket, WAIT_STEP_NANOS)) {
      continue;
    }
  }

  /**
   * Waits up to {@code nanos} until all records up to the ticket are written.
   *
   * @return false on timeout, in which case the records may not be durable
   * @throws LedgerException if writing fails now; a retry may still write the records later
   */
  public boolean await(long ticket, long nanos) throws LedgerException {
    long end = System.nanoTime() + nanos;
    boolean interrupted = false;
    lock.lock();
    try {
      if (writtenTicket < ticket) {
        requestCommit();
      }
      for (long left = nanos;
          writtenTicket < ticket && writeFailure == null && !committerStopped && left > 0;
          left = end - System.nanoTime()) {
        try {
          stateChanged.awaitNanos(left);
        } catch (InterruptedException e) {
          // The caller must know whether the record is durable, so the wait continues.
          interrupted = true;
        }
      }
      if (writtenTicket < ticket && (writeFailure != null || committerStopped)) {
        throw writeException();
      }
      return writtenTicket >= ticket;
    } finally {
      lock.unlock();
      if (interrupted) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** Expires records up to this time of {@link #clock}, in microseconds; later commits delete their files. */
  public void expireUntil(long time) {
    lock.lock();
    try {
      now = Math.max(now, time);
      for (Map.Entry<Long, Integer> e = expiryCounts.firstEntry();
          e != null && e.getKey() * EXPIRY_BUCKET_MICROS < now;
          e = expiryCounts.firstEntry()) {
        messageCount -= e.getValue();
        expiryCounts.pollFirstEntry();
      }
      requestCommit();
    } finally {
      lock.unlock();
    }
  }

  private void run() {
    boolean running = true;
    while (running) {
      lock.lock();
      try {
        while (!commitRequested && !closing && writeFailure == null) {
          stateChanged.awaitUninterruptibly();
        }
        commitRequested = false;
        running = !closing;
      } finally {
        lock.unlock();
      }
      if (commit()) {
        dropExpired();
      } else {
        waitBeforeRetry();
      }
    }
    lock.lock();
    try {
      committerStopped = true;
      stateChanged.signalAll();
    } finally {
      lock.unlock();
    }
  }

  private void waitBeforeRetry() {
    lock.lock();
    try {
      long left = RETRY_NANOS;
      while (left > 0 && !closing) {
        left = stateChanged.awaitNanos(left);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } finally {
      lock.unlock();
    }
  }

  /** Writes the pending records, or retries the frame that failed before; false if the write fails. */
  private boolean commit() {
    Frame frame;
    lock.lock();
    try {
      frameInProgress = frameInProgress == null ? takePendingFrame() : frameInProgress;
      frame = frameInProgress;
    } finally {
      lock.unlock();
    }
    Throwable error = null;
    writeStartNanos = Math.max(1, System.nanoTime());
    try {
      if (!frame.buffer().isEmpty()) {
        frame.segment().append(frame.buffer().toByteBuffer(), frame.offset(), sync);
      }
      if (frame.sealsSegment()) {
        frame.segment().seal();
      }
    } catch (IOException | RuntimeException | Error e) {
      // Any failure, even an Error, must release the waiting callers.
      error = e;
    } finally {
      writeStartNanos = 0;
    }
    lock.lock();
    try {
      writeFailure = error;
      if (error == null) {
        commitCount += frame.buffer().isEmpty() ? 0 : 1;
        writtenTicket = Math.max(writtenTicket, frame.lastTicket());
        frameInProgress = null;
      }
      stateChanged.signalAll();
    } finally {
      lock.unlock();
    }
    return error == null;
  }

  /** Takes the pending records as a frame and starts a new segment if this one is full. The caller holds the lock. */
  private Frame takePendingFrame() {
    LedgerSegment to = activeSegment();
    int offset = to.endOffset;
    FrameBuffer bytes = pending;
    if (!bytes.isEmpty()) {
      to.endOffset += bytes.size();
      pending = new FrameBuffer();
    }
    boolean seals = isFull(to);
    if (seals) {
      startSegment(to.number + 1);
    }
    return new Frame(bytes, to, offset, lastTicket, seals);
  }

  private boolean isFull(LedgerSegment segment) {
    long all = segments.stream().mapToLong(s -> s.endOffset).sum();
    boolean large = segment.endOffset
        >= Math.min(MAX_SEGMENT_BYTES, Math.max(segmentBytes, all / TARGET_SEGMENTS));
    boolean old = segment.firstRecordAt > 0
        && now - segment.firstRecordAt
            > (segment.keepUntil() - segment.firstRecordAt) / SEGMENTS_PER_RETENTION;
    return segment.endOffset > LedgerSegment.HEADER_BYTES && (large || old);
  }

  /** Drops index tables and files whose records have all expired; the active segment stays. */
  private void dropExpired() {
    lock.lock();
    try {
      for (LedgerSegment s : List.copyOf(segments.subList(0, segments.size() - 1))) {
        if (s.requestsKeepUntil <= now && s.requestOffsets.size() > 0) {
          s.requestOffsets = new DigestTable();
        }
        if (s.keepUntil() <= now) {
          segments.remove(s);
          segmentsToDelete.add(s);
        }
      }
    } finally {
      lock.unlock();
    }
    segmentsToDelete.removeIf(Ledger::tryDelete);
  }

  private static boolean tryDelete(LedgerSegment segment) {
    try {
      segment.delete();
      return true;
    } catch (IOException e) {
      // Only disk space is lost; the next commit retries.
      return false;
    }
  }

  /** Number of frames written, for measurements. */
  public long commitCount() {
    lock.lock();
    try {
      return commitCount;
    } finally {
      lock.unlock();
    }
  }

  /** Writes the pending records and closes the files. */
  @Override
  public void close() {
    lock.lock();
    try {
      closing = true;
      stateChanged.signalAll();
    } finally {
      lock.unlock();
    }
    try {
      committer.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    closeFiles();
  }

  private void closeFiles() {
    try {
      for (LedgerSegment s : segments) {
        s.close();
      }
      lockFile.close();
    } catch (IOException e) {
      writeFailure = writeFailure == null ? e : writeFailure;
    }
  }
}
