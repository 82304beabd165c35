package gorseladder.node.changelog;

import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.follow.FeedAttempts;
import gorseladder.follow.FollowPace;
import gorseladder.node.changelog.ListedRunners.Change;
import gorseladder.node.changelog.ListedRunners.Listed;
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
 * Follows the change log: asks for every event after the last one it has, again where the connection breaks, falls
 * silent, or leaves a number out; {@link FeedAttempts} says when, on how many connections, and which of them are let
 * go. Half events are dropped and doubled ones skipped. What cannot be read again and again is passed over, so that
 * what comes after it is heard. While the log is away the list that is known stays in force.
 *
 * <p>A few threads of its own, all started with it: a connection each, and one that waits for the next turn. Lines are
 * applied under this object's lock, in the order of their numbers. {@link #moveTo} and what is asked for logs may be
 * called by any thread.
 */
public final class ChangeLogFollower implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ChangeLogFollower.class);
  private static final int MOST_LINE = 4 << 20;
  private static final int READ = 8_192;
  /** A connection that is not let go before gets so long to come up. */
  private static final int CONNECT_MILLIS = 30_000;
  /** What cannot be read is asked for so often, and for so long, before it is passed over. */
  private static final int PASS_OVER_AFTER = 3;

  private static final long PASS_OVER_FOR = 1_000_000;
  /** Without a word for so long, a line says so; and each time the silence has doubled since. */
  private static final long SILENT = 4_000_000;
  /** Lines of one event that name a runner. */
  private static final int MOST_LINES = 16;

  /** Who hears the list. */
  public interface Listener {
    /** One runner, told before {@link #listChanged}; {@code at} is when the bytes that say so had arrived. */
    void runnerChanged(WorkerEntry entry, InetSocketAddress address, long at);

    /** News of the list. */
    void listChanged(WorkerListUpdate workers);
  }

  /** One connection. Its fields are the follower's lock's, but for the socket, which its thread uses. */
  private static final class Connection {
    private final long number;
    private final InetSocketAddress address;
    private final Socket socket = new Socket();
    private final long begunAt;
    private boolean news;
    private boolean tells;
    private boolean passesOver;

    private Connection(long number, InetSocketAddress address, long begunAt) {
      this.number = number;
      this.address = address;
      this.begunAt = begunAt;
    }
  }

  /** A line that ends its connection. */
  private static final class UnusableLine extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private UnusableLine(String message) {
      super(message);
    }
  }

  private final Listener listener;
  private final FeedAttempts attempts;
  private final ListedRunners listed = new ListedRunners();
  private final Map<Long, Connection> connections = new HashMap<>();
  private final Counts ends = new Counts();
  private InetSocketAddress address;
  private boolean stopped;
  private long last;
  /** When the log last told that nothing beyond what is known had happened. */
  private long currentAt;

  private long heardAt;
  private boolean silent;
  private long silenceTold;
  private long endsSinceHeard;
  private long unreadable;
  private long passedOver;
  /** After which event something could not be used, since when, and how often. */
  private long stuckAfter = -1;

  private long stuckSince;
  private int stuckTimes;

  /** A follower that begins with {@link #start}. */
  public ChangeLogFollower(InetSocketAddress address, long seed, Listener listener) {
    this.address = address;
    this.attempts = new FeedAttempts(seed);
    this.listener = listener;
  }

  /** Tells the events known at the start, as one list, and begins to follow the log from there. */
  public synchronized void start(long knownSeq, List<ChangeLine> known, int stackBytes) {
    currentAt = Clock.micros();
    heardAt = currentAt;
    for (ChangeLine line : known) {
      if (line.fleet() != null) {
        noteUnreadable(line.seq(), listed.apply(line.fleet(), StartTimes.ALWAYS_LISTED));
      }
      last = Math.max(last, line.seq());
    }
    last = Math.max(last, knownSeq);
    tell(listed.asSaved(), currentAt);
    for (int i = 0; i <= FeedAttempts.MAX_CONNECTIONS; i++) {
      Threads.start("changelog", stackBytes, this::follow);
    }
  }

  /** Follows the log at another address from now on, from the last number on. */
  public synchronized void moveTo(InetSocketAddress next) {
    LOG.info("change log: moves from {} to {} after event {}", address, next, last);
    address = next;
    attempts.addressChanged();
    notifyAll();
  }

  /** The address that is followed. */
  public synchronized InetSocketAddress address() {
    return address;
  }

  /** True while the log tells something, if only that nothing happened. */
  public synchronized boolean isReceiving() {
    return Clock.micros() - heardAt < FollowPace.SILENCE_MICROS;
  }

  // ---- connections, each on a thread of its own

  private void follow() {
    try {
      for (Connection c = next(); c != null; c = next()) {
        Connection connection = c;
        Threads.guarded("changelog", () -> use(connection));
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Waits for the time of the next connection; null once closed. */
  private synchronized Connection next() throws InterruptedException {
    while (!stopped) {
      long now = Clock.micros();
      long wait = attempts.nextAt(now) - now;
      if (wait <= 0) {
        return begin(now);
      }
      wait(1 + wait / 1_000);
    }
    return null;
  }

  private Connection begin(long now) {
    FeedAttempts.Started started = attempts.begin(now);
    if (started.evicted() != 0) {
      letGo(started.evicted(), "silent");
    }
    Connection connection = new Connection(started.number(), address, now);
    connections.put(connection.number, connection);
    return connection;
  }

  private void use(Connection c) {
    String why = "closed by the log";
    try (Socket socket = c.socket) {
      socket.connect(c.address, CONNECT_MILLIS);
      socket.setTcpNoDelay(true);
      socket.getOutputStream().write(ChangeLine.since(last()));
      read(c);
    } catch (IOException | RuntimeException | Error e) {
      why = e instanceof UnusableLine ? e.getMessage() : e.toString();
    } finally {
      ended(c, why);
    }
  }

  private synchronized long last() {
    return last;
  }

  private void read(Connection c) throws IOException {
    InputStream in = c.socket.getInputStream();
    LineParser lines = new LineParser(MOST_LINE);
    byte[] buffer = new byte[READ];
    for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
      long at = Clock.micros();
      lines.feed(buffer, 0, count, line -> line(c, line, at));
    }
  }

  private synchronized void ended(Connection c, String why) {
    boolean stood = connections.remove(c.number) != null;
    attempts.ended(c.number, c.news, Clock.micros());
    if (stood && !stopped) {
      noteEnd(c, why);
    }
    notifyAll();
  }

  private void letGo(long number, String why) {
    Connection c = connections.remove(number);
    if (c == null) {
      return;
    }
    noteEnd(c, why);
    try {
      c.socket.close();
    } catch (IOException e) {
      // It has ended.
    }
  }

  /** A line for the first end since the log was heard, and then for each power of two. */
  private void noteEnd(Connection c, String why) {
    ends.count(c.tells ? "after it told" : "before it told");
    endsSinceHeard++;
    if (Long.bitCount(endsSinceHeard) == 1) {
      LOG.info(
          "change log: connection {} to {} ended after {} ms ({} since the log was last heard): {}",
          c.number,
          c.address,
          (Clock.micros() - c.begunAt) / 1_000,
          endsSinceHeard,
          why);
    }
  }

  // ---- lines, under the lock

  private synchronized void line(Connection c, byte[] text, long at) {
    if (stopped || !connections.containsKey(c.number)) {
      return;
    }
    ChangeLine change;
    try {
      change = ChangeLine.read(text);
    } catch (RuntimeException e) {
      cannotUse(c, at, "a line that cannot be read: " + e.getMessage());
      unreadable++;
      return;
    }
    listed.observeClocks();
    // A beat past the last event, or an event past the next one, says that one was missed.
    if (change.seq() > (change.isEvent() ? last + 1 : last)) {
      cannotUse(c, at, "number " + change.seq() + " after " + last);
      passedOver += change.seq() - last - (change.isEvent() ? 1 : 0);
      last = change.isEvent() ? change.seq() - 1 : change.seq();
    }
    heard(c, change.seq(), at);
    long absentAt = currentAt;
    currentAt = at;
    if (change.isEvent() && change.seq() > last) {
      last = change.seq();
      c.news = true;
      if (change.fleet() != null) {
        apply(change, c, absentAt, at);
      }
    }
  }

  /**
   * Something on a connection cannot be used. At first it is asked for again, since it may have been spoilt on its way;
   * where it stays so, it is passed over.
   *
   * @throws UnusableLine where the connection has to end
   */
  private void cannotUse(Connection c, long at, String what) {
    if (c.passesOver) {
      return;
    }
    if (stuckAfter != last) {
      stuckAfter = last;
      stuckSince = at;
      stuckTimes = 0;
    }
    stuckTimes++;
    if (stuckTimes <= PASS_OVER_AFTER || at - stuckSince < PASS_OVER_FOR) {
      throw new UnusableLine(what);
    }
    c.passesOver = true;
    LOG.warn("change log: passed over after event {}, told {} times: {}", last, stuckTimes, what);
  }

  private void heard(Connection c, long seq, long at) {
    attempts
        .lineReceived(c.number, seq, last, at)
        .forEach(other -> letGo(other, "another one tells"));
    if (seq < last) {
      return;
    }
    if (!c.tells || silent) {
      LOG.info(
          "change log: {} tells on connection {}, {} ms after it began; event {}, {} ms after it was last heard",
          c.address,
          c.number,
          (at - c.begunAt) / 1_000,
          seq,
          (at - heardAt) / 1_000);
    }
    c.tells = true;
    heardAt = at;
    endsSinceHeard = 0;
    silent = false;
  }

  private void apply(ChangeLine change, Connection from, long absentAt, long at) {
    Map<String, Phase> before = new HashMap<>();
    for (Map<String, Object> target : change.fleet().targets()) {
      String uid = String.valueOf(target.get("uid"));
      before.put(uid, listed.phase(uid));
    }
    Change news = listed.apply(change.fleet(), absentAt);
    noteUnreadable(change.seq(), news);
    tell(news, at);
    int lines = 0;
    for (Listed one : news.told()) {
      Phase phase = one.entry().phase();
      String uid = one.entry().worker();
      if (phase == Phase.RUNNING && before.get(uid) == null && one.entry().startedAt() > 0) {
        noteStart(one, change.seq(), absentAt, at);
      }
      if (phase != Phase.RUNNING && phase != before.get(uid) && lines++ < MOST_LINES) {
        LOG.info("runner {} is {}, told by event {} of {}", uid, phase, change.seq(), from.address);
      }
    }
    if (lines > MOST_LINES) {
      LOG.info("and {} runners more, told by event {}", lines - MOST_LINES, change.seq());
    }
  }

  private static void noteStart(Listed runner, long seq, long absentAt, long at) {
    LOG.info(
        "runner {} counts as started {} ms ago, told by event {}; the list was without it {} ms ago",
        runner.entry().worker(),
        (at - runner.entry().startedAt()) / 1_000,
        seq,
        (at - absentAt) / 1_000);
  }

  private void tell(Change news, long at) {
    news.told().forEach(one -> listener.runnerChanged(one.entry(), one.address(), at));
    listener.listChanged(news.workers());
  }

  private void noteUnreadable(long seq, Change news) {
    if (!news.unreadable().isEmpty()) {
      unreadable += news.unreadable().size();
      LOG.warn(
          "change log: event {} has {} entries that cannot be read, the first one {}",
          seq,
          news.unreadable().size(),
          news.unreadable().get(0));
    }
  }

  // ---- for the log

  /** Says so where nothing was heard for long; called now and then. */
  public synchronized void warnIfSilent() {
    long silence = Clock.micros() - heardAt;
    if (stopped || silence < SILENT || silent && silence < 2 * silenceTold) {
      return;
    }
    silent = true;
    silenceTold = silence;
    LOG.warn("change log: {}", describe());
  }

  /** What is believed of the list, since when, by whom it was told and when that was last heard. */
  public synchronized String summary() {
    return describe();
  }

  private String describe() {
    return address + " is followed, last event " + last + ", last heard "
        + (Clock.micros() - heardAt) / 1_000 + " ms ago, " + connections.size()
        + " connections, ended " + ends + ", unreadable " + unreadable + ", passed over "
        + passedOver;
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
