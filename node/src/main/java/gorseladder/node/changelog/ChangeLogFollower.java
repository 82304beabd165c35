package gorseladder.node.changelog;

import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.Workers;
import gorseladder.follow.FollowPace;
import gorseladder.node.NodeConfig;
import gorseladder.platform.Fields;
import gorseladder.platform.PlatformList;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Threads;
import gorseladder.starts.StartTimes;
import gorseladder.starts.StartTimes.Reading;
import gorseladder.wire.changelog.ChangeLine;
import gorseladder.wire.changelog.LineParser;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the change log: asks for every event after the last one it has, again where the connection breaks, falls silent, or
 * leaves a number out; {@link FollowPace} says what counts as silence, and when to ask. Half events are dropped and doubled ones
 * skipped. While it is away the list that is known stays in force.
 *
 * <p>One thread of its own; {@link #moveTo} may be called by any.
 */
public final class ChangeLogFollower implements AutoCloseable {
  private static final int MOST_LINE = 4 << 20;
  private static final int READ = 8_192;
  private static final Logger LOG = LoggerFactory.getLogger(ChangeLogFollower.class);

  /** Who hears the list. */
  public interface Hearer {
    /** One runner, told before {@link #list}; {@code at} is when the bytes that say so had arrived. */
    void runner(WorkerEntry entry, InetSocketAddress address, long at);

    /** News of the list. */
    void list(Workers workers);
  }

  private final Hearer hearer;
  private final FollowPace pace;
  private final StartTimes starts = new StartTimes();
  private final Map<String, InetSocketAddress> addresses = new HashMap<>();
  private volatile InetSocketAddress address;
  private volatile Socket socket;
  private volatile boolean stopped;
  private long last;
  private boolean gap;
  /** When the log last told that nothing beyond what is known had happened. */
  private long currentAt;

  /** A follower that begins with {@link #start}. */
  public ChangeLogFollower(InetSocketAddress address, long seed, Hearer hearer) {
    this.address = address;
    this.pace = new FollowPace(seed);
    this.hearer = hearer;
  }

  /** Tells the events known at the start, as one list, and begins to follow the log from there. */
  public void start(long knownSeq, List<ChangeLine> known, int stackBytes) {
    Map<String, WorkerEntry> list = new HashMap<>();
    long at = Clock.micros();
    for (ChangeLine line : known) {
      if (line.fleet() != null) {
        if (line.fleet().all()) {
          list.clear();
        }
        entries(line.fleet(), StartTimes.ALWAYS_LISTED).forEach(e -> list.put(e.worker(), e));
      }
      last = Math.max(last, line.seq());
    }
    last = Math.max(last, knownSeq);
    currentAt = at;
    list.values().forEach(e -> hearer.runner(e, addresses.get(e.worker()), at));
    hearer.list(new Workers(ListKind.SAVED, new ArrayList<>(list.values())));
    Threads.start("changelog", stackBytes, this::follow);
  }

  /** Follows the log at another address from now on, from the last number on. */
  public void moveTo(InetSocketAddress next) {
    address = next;
    closeSocket();
  }

  private void follow() {
    while (!stopped) {
      InetSocketAddress asked = address;
      long before = last;
      try (Socket s = new Socket()) {
        socket = s;
        s.connect(asked, (int) (FollowPace.CONNECT / 1_000));
        s.setTcpNoDelay(true);
        s.getOutputStream().write(ChangeLine.since(last));
        if (asked.equals(address) && !stopped) {
          pace.asked(Clock.micros());
          read(s);
        }
      } catch (IOException | RuntimeException | OutOfMemoryError | StackOverflowError e) {
        if (!stopped) {
          LOG.debug("change log at {}: {}; the list stays", asked, e.toString());
        }
      }
      long pause = pace.pause(last > before);
      sleep(asked.equals(address) ? pause / 1_000 : 0);
    }
  }

  private void read(Socket from) throws IOException {
    InputStream in = from.getInputStream();
    LineParser lines = new LineParser(MOST_LINE);
    byte[] buffer = new byte[READ];
    gap = false;
    while (!stopped && !gap) {
      // Counted from the last line that told something: bytes that trickle and never make one
      // must not put it off.
      from.setSoTimeout((int) Math.max(1, pace.left(Clock.micros()) / 1_000));
      int count = in.read(buffer);
      if (count < 0) {
        return;
      }
      long at = Clock.micros();
      lines.feed(buffer, 0, count, line -> line(line, at));
      if (pace.left(at) <= 0) {
        return;
      }
    }
  }

  private void line(byte[] line, long at) {
    if (gap) {
      return;
    }
    ChangeLine change = ChangeLine.read(line);
    pace.line(change.seq(), last, at);
    starts.observe(clocks());
    // A beat past the last event, or an event past the next one, says that one was missed.
    gap = change.seq() > (change.event() ? last + 1 : last);
    if (gap) {
      return;
    }
    long absentAt = currentAt;
    currentAt = at;
    if (!change.event() || change.seq() <= last) {
      return;
    }
    List<WorkerEntry> entries =
        change.fleet() == null ? List.of() : entries(change.fleet(), absentAt);
    last = change.seq();
    if (change.fleet() == null) {
      // An event that says nothing of the list; it has its number all the same.
      return;
    }
    if (change.fleet().all()) {
      Map<String, InetSocketAddress> before = new HashMap<>(addresses);
      entries.forEach(e -> before.remove(e.worker()));
      before.forEach(
          (uid, was) -> hearer.runner(new WorkerEntry(uid, "", 0, Phase.GONE, 1, 0), was, at));
      before.keySet().forEach(this::forget);
    }
    entries.forEach(e -> hearer.runner(e, addresses.get(e.worker()), at));
    hearer.list(new Workers(change.fleet().all() ? ListKind.FULL : ListKind.DELTA, entries));
    entries.stream().filter(e -> e.phase() == Phase.GONE).forEach(e -> forget(e.worker()));
  }

  private void forget(String uid) {
    addresses.remove(uid);
    starts.forget(uid::equals);
  }

  private static Reading clocks() {
    return new Reading(Clock.micros(), Clock.wallMicros());
  }

  private List<WorkerEntry> entries(ChangeLine.Fleet fleet, long absentAt) {
    Reading now = clocks();
    List<WorkerEntry> entries = new ArrayList<>();
    for (Map<String, Object> target : fleet.targets()) {
      WorkerEntry entry = PlatformList.ofChangeLog(
          target, (uid, stamp) -> starts.startedAt(uid, stamp, now, absentAt));
      addresses.put(
          entry.worker(), NodeConfig.address(Fields.text(target, "endpoint"), "endpoint"));
      entries.add(entry);
    }
    return entries;
  }

  private void sleep(long millis) {
    try {
      Thread.sleep(stopped ? 0 : millis);
    } catch (InterruptedException e) {
      stopped = true;
    }
  }

  private void closeSocket() {
    Socket open = socket;
    if (open != null) {
      try {
        open.close();
      } catch (IOException e) {
        // Closed already.
      }
    }
  }

  @Override
  public void close() {
    stopped = true;
    closeSocket();
  }
}
