package gorseladder.node.changelog;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.follow.FeedAttempts;
import gorseladder.follow.FollowPace;
import gorseladder.node.changelog.ListedRunners.Change;
import gorseladder.node.changelog.ListedRunners.ListedRunner;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Counts;
import gorseladder.runtime.Threads;
import gorseladder.starts.StartTimes;
import gorseladder.wire.changelog.ChangeLine;
import gorseladder.wire.changelog.LineParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the change log: requests every event after the last one received, and requests it again if the connection
 * breaks, becomes silent or omits a number. {@link FeedAttempts} decides when to connect, on how many connections, and
 * which of them are closed. Incomplete events are dropped and repeated ones skipped. Content that is unusable again and
 * again is skipped, so that the events after it are received. While the log is unavailable, the known list remains in
 * force.
 *
 * <p>All threads are started with the follower: one for each connection, and one that waits for the next attempt. Lines
 * are applied under the lock of this object, in the order of their numbers. {@link #moveTo} and the methods for the log
 * may be called by any thread.
 */
public final class ChangeLogFollower implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ChangeLogFollower.class);
  private static final int READ_BUFFER_BYTES = 8_192;
  /** Limits the time to connect, unless the connection is closed earlier. */
  private static final int CONNECT_MILLIS = 30_000;
  /**
   * Unusable content is requested again this many times, and for {@link #MIN_SKIP_DELAY_MICROS}, before it is skipped.
   */
  private static final int RETRIES_BEFORE_SKIP = 3;

  private static final long MIN_SKIP_DELAY_MICROS = 1_000_000;
  /** A warning is logged after this time without any line, and each time the silence has doubled since. */
  private static final long SILENCE_WARNING_MICROS = 4_000_000;
  /** Maximum number of log lines about the runners of one event. */
  private static final int MAX_RUNNER_LINES = 16;

  /** Receives the list of runners. */
  public interface Listener {
    /**
     * Reports one runner, before {@link #listChanged}.
     *
     * @param at when the bytes of the event arrived
     */
    void runnerChanged(WorkerEntry entry, InetSocketAddress address, long at);

    /** Reports an update of the list. */
    void listChanged(WorkerListUpdate update);
  }

  /** One connection. Its fields are guarded by the follower's lock, except the socket, which its thread uses. */
  private static final class Connection {
    private final long number;
    private final InetSocketAddress address;
    private final Socket socket = new Socket();
    private final long startedAt;
    private boolean receivedEvent;
    private boolean receivedLine;
    private boolean skipsUnusable;

    private Connection(long number, InetSocketAddress address, long startedAt) {
      this.number = number;
      this.address = address;
      this.startedAt = startedAt;
    }
  }

  /** Thrown for a line that ends its connection. */
  private static final class UnusableLine extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private UnusableLine(String message) {
      super(message);
    }
  }

  private final int maxLineBytes;
  private final Listener listener;
  private final ByteBudget lineBudget;
  private final FeedAttempts attempts;
  private final ListedRunners listed = new ListedRunners();
  private final Map<Long, Connection> connections = new HashMap<>();
  private final Counts ends = new Counts();
  private InetSocketAddress address;
  private boolean stopped;
  private long lastSeq;
  /** When the log last confirmed that there are no events beyond the known ones. */
  private long upToDateAt;

  private long heardAt;
  private boolean silenceReported;
  private long reportedSilence;
  private long endsSinceHeard;
  private long unreadable;
  private long skipped;
  /** The event after which content was unusable, since when, and how often. */
  private long unusableAfter = -1;

  private long unusableSince;
  private int unusableCount;

  /**
   * Creates a follower; it connects after {@link #start}.
   *
   * @param maxLineBytes length of the longest line that is read, and of all unfinished lines together
   */
  public ChangeLogFollower(
      InetSocketAddress address, long seed, int maxLineBytes, Listener listener) {
    this.maxLineBytes = maxLineBytes;
    this.lineBudget = new ByteBudget(maxLineBytes);
    this.address = address;
    this.attempts = new FeedAttempts(seed);
    this.listener = listener;
  }

  /**
   * Reports the events known at the start as one list, and begins to follow the log after them.
   *
   * @param knownSeq number of the last known event
   * @param known the known events
   */
  public synchronized void start(long knownSeq, List<ChangeLine> known, int stackBytes) {
    upToDateAt = Clock.micros();
    heardAt = upToDateAt;
    for (ChangeLine line : known) {
      if (line.fleet() != null) {
        recordUnreadable(line.seq(), listed.apply(line.fleet(), StartTimes.ALWAYS_LISTED));
      }
      lastSeq = Math.max(lastSeq, line.seq());
    }
    lastSeq = Math.max(lastSeq, knownSeq);
    publish(listed.savedList(), upToDateAt);
    for (int i = 0; i <= FeedAttempts.MAX_CONNECTIONS; i++) {
      Threads.start("changelog", stackBytes, this::openConnections);
    }
  }

  /** Follows the log at another address from now on, after the last event received. */
  public synchronized void moveTo(InetSocketAddress next) {
    LOG.info("change log: moves from {} to {} after event {}", address, next, lastSeq);
    address = next;
    attempts.addressChanged();
    notifyAll();
  }

  /** The address of the log. */
  public synchronized InetSocketAddress address() {
    return address;
  }

  /** Whether the log has sent anything lately, if only that nothing happened. */
  public synchronized boolean isReceiving() {
    return Clock.micros() - heardAt < FollowPace.SILENCE_MICROS;
  }

  // ---- connections, each on its own thread

  private void openConnections() {
    try {
      for (Connection c = awaitNext(); c != null; c = awaitNext()) {
        Connection connection = c;
        Threads.guarded("changelog", () -> runConnection(connection));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits until the next connection is due; returns null once closed. */
  private synchronized Connection awaitNext() throws InterruptedException {
    while (!stopped) {
      long now = Clock.micros();
      long wait = attempts.nextAt(now) - now;
      if (wait <= 0) {
        return startConnection(now);
      }
      wait(1 + wait / 1_000);
    }
    return null;
  }

  private Connection startConnection(long now) {
    FeedAttempts.Started started = attempts.begin(now);
    if (started.evicted() != 0) {
      closeConnection(started.evicted(), "silent");
    }
    Connection connection = new Connection(started.number(), address, now);
    connections.put(connection.number, connection);
    return connection;
  }

  private void runConnection(Connection c) {
    String why = "closed by the log";
    try (Socket socket = c.socket) {
      socket.connect(c.address, CONNECT_MILLIS);
      socket.setTcpNoDelay(true);
      socket.getOutputStream().write(ChangeLine.since(lastSeq()));
      read(c);
    } catch (IOException | RuntimeException | Error e) {
      why = e instanceof UnusableLine ? e.getMessage() : e.toString();
    } finally {
      connectionEnded(c, why);
    }
  }

  private synchronized long lastSeq() {
    return lastSeq;
  }

  private void read(Connection c) throws IOException {
    InputStream in = c.socket.getInputStream();
    LineParser lines = new LineParser(maxLineBytes);
    byte[] buffer = new byte[READ_BUFFER_BYTES];
    long taken = 0;
    try {
      for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
        long at = Clock.micros();
        // Taken before the bytes are kept, in steps that are as rare as the growth of the parser's
        // buffer.
        long wanted = lines.bytesToKeep(count);
        if (wanted > taken && !lineBudget.tryTake(wanted - taken)) {
          throw new UnusableLine("no room for a line of more than " + taken + " bytes");
        }
        taken = Math.max(taken, wanted);
        lines.feed(buffer, 0, count, line -> lineReceived(c, line, at));
      }
    } finally {
      lineBudget.giveBack(taken);
    }
  }

  private synchronized void connectionEnded(Connection c, String why) {
    boolean wasOpen = connections.remove(c.number) != null;
    attempts.ended(c.number, c.receivedEvent, Clock.micros());
    if (wasOpen && !stopped) {
      recordEnd(c, why);
    }
    notifyAll();
  }

  private void closeConnection(long number, String why) {
    Connection c = connections.remove(number);
    if (c == null) {
      return;
    }
    recordEnd(c, why);
    try {
      c.socket.close();
    } catch (IOException e) {
      // It has ended.
    }
  }

  /** Counts a closed connection; logs the first since the last line from the log, and then each power of two. */
  private void recordEnd(Connection c, String why) {
    ends.count(c.receivedLine ? "after it told" : "before it told");
    endsSinceHeard++;
    if (Long.bitCount(endsSinceHeard) == 1) {
      LOG.info(
          "change log: connection {} to {} ended after {} ms ({} since the log was last heard): {}",
          c.number,
          c.address,
          (Clock.micros() - c.startedAt) / 1_000,
          endsSinceHeard,
          why);
    }
  }

  // ---- lines, under the lock

  private synchronized void lineReceived(Connection c, byte[] text, long at) {
    if (stopped || !connections.containsKey(c.number)) {
      return;
    }
    ChangeLine change;
    try {
      change = ChangeLine.read(text);
    } catch (RuntimeException e) {
      handleUnusable(c, at, "a line that cannot be read: " + e.getMessage());
      unreadable++;
      return;
    }
    listed.observeClocks();
    // A heartbeat beyond the last event, or an event beyond the next one, shows that one was
    // missed.
    if (change.seq() > (change.isEvent() ? lastSeq + 1 : lastSeq)) {
      handleUnusable(c, at, "number " + change.seq() + " after " + lastSeq);
      skipped += change.seq() - lastSeq - (change.isEvent() ? 1 : 0);
      lastSeq = change.isEvent() ? change.seq() - 1 : change.seq();
    }
    recordLine(c, change.seq(), at);
    long absentAt = upToDateAt;
    upToDateAt = at;
    if (change.isEvent() && change.seq() > lastSeq) {
      lastSeq = change.seq();
      c.receivedEvent = true;
      if (change.fleet() != null) {
        apply(change, c, absentAt, at);
      }
    }
  }

  /**
   * Handles unusable content. At first it is requested again, since it may have been corrupted in transit; if it
   * remains unusable, it is skipped.
   *
   * @throws UnusableLine if the connection has to end
   */
  private void handleUnusable(Connection c, long at, String what) {
    if (c.skipsUnusable) {
      return;
    }
    if (unusableAfter != lastSeq) {
      unusableAfter = lastSeq;
      unusableSince = at;
      unusableCount = 0;
    }
    unusableCount++;
    if (unusableCount <= RETRIES_BEFORE_SKIP || at - unusableSince < MIN_SKIP_DELAY_MICROS) {
      throw new UnusableLine(what);
    }
    c.skipsUnusable = true;
    LOG.warn(
        "change log: passed over after event {}, told {} times: {}", lastSeq, unusableCount, what);
  }

  private void recordLine(Connection c, long seq, long at) {
    attempts
        .lineReceived(c.number, seq, lastSeq, at)
        .forEach(other -> closeConnection(other, "another one tells"));
    if (seq < lastSeq) {
      return;
    }
    if (!c.receivedLine || silenceReported) {
      LOG.info(
          "change log: {} tells on connection {}, {} ms after it began; event {}, {} ms after it was last heard",
          c.address,
          c.number,
          (at - c.startedAt) / 1_000,
          seq,
          (at - heardAt) / 1_000);
    }
    c.receivedLine = true;
    heardAt = at;
    endsSinceHeard = 0;
    silenceReported = false;
  }

  private void apply(ChangeLine event, Connection from, long absentAt, long at) {
    Map<String, Phase> before = new HashMap<>();
    for (Map<String, Object> target : event.fleet().targets()) {
      String uid = String.valueOf(target.get("uid"));
      before.put(uid, listed.phase(uid));
    }
    Change change = listed.apply(event.fleet(), absentAt);
    recordUnreadable(event.seq(), change);
    publish(change, at);
    int lines = 0;
    for (ListedRunner one : change.runners()) {
      Phase phase = one.entry().phase();
      String uid = one.entry().worker();
      if (phase == Phase.RUNNING && before.get(uid) == null && one.entry().startedAt() > 0) {
        logStart(one, event.seq(), absentAt, at);
      }
      if (phase != Phase.RUNNING && phase != before.get(uid) && lines++ < MAX_RUNNER_LINES) {
        LOG.info("runner {} is {}, told by event {} of {}", uid, phase, event.seq(), from.address);
      }
    }
    if (lines > MAX_RUNNER_LINES) {
      LOG.info("and {} runners more, told by event {}", lines - MAX_RUNNER_LINES, event.seq());
    }
  }

  private static void logStart(ListedRunner runner, long seq, long absentAt, long at) {
    LOG.info(
        "runner {} counts as started {} ms ago, told by event {}; the list was without it {} ms ago",
        runner.entry().worker(),
        (at - runner.entry().startedAt()) / 1_000,
        seq,
        (at - absentAt) / 1_000);
  }

  private void publish(Change change, long at) {
    change.runners().forEach(one -> listener.runnerChanged(one.entry(), one.address(), at));
    listener.listChanged(change.listUpdate());
  }

  private void recordUnreadable(long seq, Change change) {
    if (!change.unreadable().isEmpty()) {
      unreadable += change.unreadable().size();
      LOG.warn(
          "change log: event {} has {} entries that cannot be read, the first one {}",
          seq,
          change.unreadable().size(),
          change.unreadable().get(0));
    }
  }

  // ---- for the log

  /** Logs a warning if the log has been silent for long; called periodically. */
  public synchronized void warnIfSilent() {
    long silence = Clock.micros() - heardAt;
    if (stopped
        || silence < SILENCE_WARNING_MICROS
        || silenceReported && silence < 2 * reportedSilence) {
      return;
    }
    silenceReported = true;
    reportedSilence = silence;
    LOG.warn("change log: {}", describe());
  }

  /** The last known event, when the log was last heard, and counts of connections and of unusable content. */
  public synchronized String summary() {
    return describe();
  }

  private String describe() {
    return address + " is followed, last event " + lastSeq + ", last heard "
        + (Clock.micros() - heardAt) / 1_000 + " ms ago, " + connections.size()
        + " connections, ended " + ends + ", unreadable " + unreadable + ", passed over "
        + skipped;
  }

  @Override
  public synchronized void close() {
    stopped = true;
    List.copyOf(connections.keySet()).forEach(number -> {
      Connection c = connections.remove(number);
      try {
        c.socket.close();
      } catch (IOException e) {
        // It has ended.
      }
    });
    notifyAll();
  }
}
