package gorseladder.node.front;

import gorseladder.answers.Reason;
import gorseladder.core.FinalAnswer;
import gorseladder.node.NodeCall;
import gorseladder.permits.Permits;
import gorseladder.permits.Verdict;
import gorseladder.runtime.ArrivalTimes;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Outbox;
import gorseladder.runtime.UnreadBytes;
import gorseladder.wire.fastcgi.BadRecord;
import gorseladder.wire.fastcgi.NameValues;
import gorseladder.wire.fastcgi.RecordParser;
import gorseladder.wire.fastcgi.RecordWriter;
import gorseladder.wire.fastcgi.RecordWriter.Status;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * One connection of a web server. Its thread reads and parses; answers come from any thread and leave by the outbox.
 * Each request on it gets one answer, or the connection ends.
 *
 * <p>Its life goes one way, each step under its lock: open; half-closed, when nothing is asked, nothing unread and
 * nothing more will be taken, so that what crosses on the wire meets an end and no reset; closed. What is looked at to
 * decide a step is looked at under the lock that takes it.
 */
final class FrontConnection implements RecordParser.Sink {
  /**
   * Read first, without the lock; less than any record. What is left of a request is then seen unread by whoever wants
   * to close the connection, until {@link #looking} says that it is being looked at.
   */
  private static final int PEEK = 1;

  private static final int FIRST_READ = 512;
  private static final int READ = 8_192;
  private static final int MOST_OPEN = 32;
  private static final int MOST_NUMBERS = 1_024;
  private static final int MOST_PARAMS = 8_192;
  private static final int MOST_PAIRS = 100;
  private static final int RESPONDER = 1;
  private static final int MOST_WAITING_BYTES = 1 << 20;
  /** How long the other side may take to close after a half-close, in microseconds. */
  private static final long LINGER = 1_000_000;
  /** By how much a connection that never asked counts as idle for longer than one that did. */
  private static final long SILENT_FIRST = 600_000_000;

  private static final byte[] NOTHING = {};
  /** What the first bytes of a request are given room for. */
  private static final int LEAST_GATHERED = 256;
  /** About what a request costs beside its bytes, until its last record has come. */
  private static final int EXCHANGE_BYTES = 192;

  private enum State {
    OPEN,
    HALF_CLOSED,
    CLOSED
  }

  /**
   * A request on this connection, from BEGIN_REQUEST to END_REQUEST; what still comes for it after that is passed over.
   */
  private static final class Exchange {
    private final int id;
    private final long beganAt = Clock.micros();
    private byte[] gathered = NOTHING;
    private int has;
    private Map<String, String> params;
    /** Its last byte has come; from then on it is no half request. */
    private boolean whole;

    private NodeCall call;
    private boolean answered;
    /** Bytes of the front's budget that are taken for what it holds; the connection's lock's. */
    private int reserved;

    private Exchange(int id) {
      this.id = id;
    }

    /** By how much the array has to grow for so many bytes more, within the bound. */
    private int growth(int length, int most) {
      int wanted = has + length;
      return wanted <= gathered.length
          ? 0
          : Math.min(most, Math.max(LEAST_GATHERED, Math.max(wanted, 2 * has))) - gathered.length;
    }

    /** Lets go of what it holds; returns the bytes to be given back. */
    private int release() {
      int bytes = reserved;
      reserved = 0;
      gathered = NOTHING;
      has = 0;
      params = null;
      return bytes;
    }

    /** Adds bytes for which there is room. */
    private void add(byte[] bytes, int from, int length, int growth) {
      if (growth > 0) {
        gathered = Arrays.copyOf(gathered, gathered.length + growth);
        reserved += growth;
      }
      System.arraycopy(bytes, from, gathered, has, length);
      has += length;
    }
  }

  private final FastCgiFront front;
  private final SocketChannel channel;
  private final Outbox outbox;
  private final RecordParser parser = new RecordParser();
  private final Map<Integer, Exchange> open = new HashMap<>();
  private final long connectedAt = Clock.micros();
  private long idleSince = connectedAt;
  private int requests;
  private int unanswered;
  /** It is being read; until then it waits for a thread. */
  private volatile boolean hasThread;

  private State state = State.OPEN;
  private long halfClosedAt;
  /** Closes once nothing is open; it goes on taking what comes before. */
  private boolean closesAfterAnswers;
  /** Its thread has bytes that it has not looked at yet. */
  private boolean looking;
  /** The thread's own. */
  private final ArrivalTimes arrivals;
  /** Bytes of answers that are not written yet; they count against the front's budget. */
  private long unwritten;
  /** Why it ends; the first reason that is told before its end counts. */
  private CloseReason closedBecause;

  /**
   * A connection just accepted.
   *
   * @param waitedSince since when it may have waited to be accepted, with what was sent on it
   */
  FrontConnection(FastCgiFront front, SocketChannel channel, long waitedSince) {
    this.front = front;
    this.channel = channel;
    this.arrivals = new ArrivalTimes(front::cameAt, waitedSince);
    this.outbox = new Outbox(front.writers(), MOST_WAITING_BYTES, e -> close());
    outbox.open(channel);
  }

  /** Reads until the connection ends; the whole life of its thread. */
  void run() throws IOException {
    hasThread = true;
    ByteBuffer buffer = ByteBuffer.allocate(FIRST_READ);
    try {
      channel.socket().setTcpNoDelay(true);
      while (true) {
        buffer.clear().limit(PEEK);
        arrivals.beforeRead(UnreadBytes.count(channel), Clock.micros());
        int count = channel.read(buffer);
        if (count < 0) {
          endsBecause(CloseReason.CLIENT_CLOSED);
          break;
        }
        arrivals.afterRead(count, Clock.micros());
        look(true);
        buffer.limit(buffer.capacity());
        if (channel.socket().getInputStream().available() > 0) {
          arrivals.readMore(channel.read(buffer));
        }
        parser.feed(buffer.array(), 0, buffer.position(), this);
        look(false);
        if (buffer.position() == FIRST_READ && buffer.capacity() == FIRST_READ) {
          buffer = ByteBuffer.allocate(READ);
        }
      }
    } catch (BadRecord e) {
      endsBecause(CloseReason.BAD_RECORD);
    } catch (IOException e) {
      endsBecause(CloseReason.BROKEN);
      throw e;
    } finally {
      close();
    }
  }

  private synchronized void endsBecause(CloseReason why) {
    closedBecause = closedBecause == null ? why : closedBecause;
  }

  private synchronized void look(boolean begins) {
    looking = begins;
    if (!begins && closesAfterAnswers) {
      halfCloseIfFree(CloseReason.LAST_ANSWERED);
    }
  }

  // ---- records, on the connection's thread

  @Override
  public void begin(int id, int role, boolean keeps) {
    boolean inUse;
    boolean over;
    Exchange exchange = new Exchange(id);
    if (endless()) {
      close(CloseReason.ENDLESS_REQUESTS);
      return;
    }
    if (!front.reserve(EXCHANGE_BYTES)) {
      // Not kept, so that what comes after it is passed over.
      front.count("no room for a request");
      outbox.put(RecordWriter.endRequest(id, Status.OVERLOADED, 0));
      return;
    }
    synchronized (this) {
      if (state != State.OPEN || open.containsKey(id)) {
        front.giveBack(EXCHANGE_BYTES);
      }
      if (state != State.OPEN) {
        // It crossed our end on the wire; nothing is taken any more, and its client asks again
        // elsewhere.
        return;
      }
      Exchange before = open.get(id);
      inUse = before != null && !before.answered;
      over = !inUse && unanswered >= MOST_OPEN;
      if (!inUse) {
        open.put(id, exchange);
        unanswered++;
        closesAfterAnswers |= !keeps;
      }
    }
    if (inUse) {
      // Two requests under one number: nobody could tell whose an answer is.
      close(CloseReason.NUMBER_IN_USE);
    } else if (over || role != RESPONDER) {
      front.count(over ? "over 32 open" : "unknown role");
      answer(
          exchange, RecordWriter.endRequest(id, over ? Status.OVERLOADED : Status.UNKNOWN_ROLE, 0));
    }
  }

  /** Requests answered early keep their number until their body ends; a client that never ends them is cut off. */
  private synchronized boolean endless() {
    return open.size() >= MOST_NUMBERS;
  }

  private synchronized Exchange get(int id) {
    return open.get(id);
  }

  @Override
  public void abort(int id) {
    Exchange e = get(id);
    if (e == null || e.answered) {
      return;
    }
    front.count("aborted");
    NodeCall call = e.call;
    answer(e, RecordWriter.endRequest(id, Status.REQUEST_COMPLETE, 1));
    if (call != null) {
      front.gone(call);
    }
    forget(e);
  }

  @Override
  public void params(int id, byte[] bytes, int from, int length) {
    Exchange e = get(id);
    if (e != null && !e.answered && e.params == null) {
      gather(e, bytes, from, length, MOST_PARAMS, Reason.HEADERS_TOO_LARGE);
    }
  }

  /**
   * Keeps bytes of a request that is still being read. They count against the front's budget, for which the oldest half
   * requests of all connections make room.
   */
  private void gather(Exchange e, byte[] bytes, int from, int length, int most, Reason tooLarge) {
    do {
      synchronized (this) {
        if (e.answered) {
          return;
        }
        if (e.has + length > most) {
          break;
        }
        int growth = e.growth(length, most);
        if (front.tryReserve(growth)) {
          e.add(bytes, from, length, growth);
          return;
        }
      }
    } while (front.makeRoomForBytes());
    reject(e, e.has + length > most ? tooLarge : Reason.BUSY);
  }

  @Override
  public void paramsEnd(int id) {
    Exchange e = get(id);
    if (e == null) {
      return;
    }
    try {
      synchronized (this) {
        if (e.answered || e.params != null) {
          return;
        }
        // What was reserved stays so: the values are about as large.
        e.params = NameValues.read(e.gathered, e.has, MOST_PAIRS);
        e.gathered = NOTHING;
        e.has = 0;
      }
    } catch (BadRecord bad) {
      reject(e, Reason.BAD_MESSAGE);
    }
  }

  @Override
  public void stdin(int id, byte[] bytes, int from, int length) {
    Exchange e = get(id);
    if (e == null || e.answered) {
      return;
    }
    if (e.params == null) {
      reject(e, Reason.BAD_MESSAGE);
    } else {
      gather(e, bytes, from, length, RequestReader.MOST_BODY, Reason.TOO_LARGE);
    }
  }

  @Override
  public void stdinEnd(int id) {
    Exchange e = get(id);
    if (e == null) {
      return;
    }
    if (e.answered) {
      forget(e);
      return;
    }
    if (e.params == null) {
      reject(e, Reason.BAD_MESSAGE);
      return;
    }
    if (e.call != null) {
      front.count("second end of a body");
      return;
    }
    byte[] body;
    Map<String, String> params;
    synchronized (this) {
      if (e.answered) {
        forget(e);
        return;
      }
      e.whole = true;
      params = e.params;
      body = e.has == e.gathered.length ? e.gathered : Arrays.copyOf(e.gathered, e.has);
      e.gathered = NOTHING;
    }
    if (FastCgiFront.LIVE.equals(params.get("SCRIPT_NAME"))) {
      answer(
          e,
          RecordWriter.response(
              id, front.live() ? 200 : 503, Map.of("Content-Type", "text/plain"), NOTHING));
      forget(e);
      return;
    }
    try {
      front.take(
          params,
          body,
          Arrival.of(arrivals),
          (call, end) -> ended(e, call, end),
          call -> taken(e, call));
    } catch (RequestReader.Unusable bad) {
      front.count("unusable: " + bad.getMessage());
      answer(e, bad.reason());
      forget(e);
    }
  }

  /** Names the call of a request; where the connection has ended by now its client has left. */
  private void taken(Exchange e, NodeCall call) {
    boolean left;
    synchronized (this) {
      e.call = call;
      left = state == State.CLOSED;
    }
    if (left) {
      front.gone(call);
    }
  }

  @Override
  public void getValues(byte[] content) {
    Map<String, String> answer = new LinkedHashMap<>();
    try {
      Map<String, String> known = Map.of(
          "FCGI_MAX_CONNS",
          Integer.toString(front.mostConnections()),
          "FCGI_MAX_REQS",
          Integer.toString(front.mostConnections() * MOST_OPEN),
          "FCGI_MPXS_CONNS",
          "1");
      NameValues.read(content, content.length, MOST_PAIRS).keySet().stream()
          .filter(known::containsKey)
          .forEach(name -> answer.put(name, known.get(name)));
    } catch (BadRecord e) {
      close(CloseReason.BAD_RECORD);
      return;
    }
    outbox.put(RecordWriter.valuesResult(answer));
  }

  @Override
  public void unknownType(int type) {
    outbox.put(RecordWriter.unknownType(type));
  }

  // ---- answers, on any thread

  private void ended(Exchange e, NodeCall call, FinalAnswer end) {
    if (end.reason().kind == Reason.Kind.GONE) {
      return;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    if (end.reason().kind == Reason.Kind.SERVED) {
      fields.put("Content-Type", "application/octet-stream");
    } else if (end.retryAfter() > 0) {
      fields.put("Retry-After-Ms", Long.toString((end.retryAfter() + 999) / 1000));
    }
    byte[] body = end.body() == null ? NOTHING : end.body();
    answer(e, RecordWriter.response(e.id, end.reason().status, fields, body), call);
    forget(e);
  }

  /** Answers what cannot be used; the rest of it is read on and passed over. */
  private void reject(Exchange e, Reason reason) {
    front.count("unusable: " + reason.word());
    answer(e, reason);
  }

  private void answer(Exchange e, Reason reason) {
    answer(
        e,
        RecordWriter.response(e.id, reason.status, Map.of("Content-Type", "text/plain"), NOTHING));
  }

  private void answer(Exchange e, byte[] bytes) {
    answer(e, bytes, null);
  }

  /** Answers it once, as the end of that call; null where it was none. */
  private void answer(Exchange e, byte[] bytes, NodeCall call) {
    boolean put;
    synchronized (this) {
      if (state == State.CLOSED || e.answered) {
        return;
      }
      e.answered = true;
      front.giveBack(e.release());
      requests++;
      unanswered--;
      idleSince = Clock.micros();
      // Added while the lock is held: seen from outside nothing is open only once the last answer
      // is on its way.
      put = outbox.add(new AnswerBytes(bytes, call));
      if (put && closesAfterAnswers) {
        halfCloseIfFree(CloseReason.LAST_ANSWERED);
      }
    }
    if (put) {
      outbox.send();
    } else {
      close(CloseReason.CLIENT_DOES_NOT_READ);
    }
  }

  /** An answer that waits to be written; until then it counts against the front's budget. */
  private final class AnswerBytes implements Outbox.Item {
    private final byte[] bytes;
    /** Null where it answers no call. */
    private final NodeCall call;

    /** The connection's lock is held. */
    private AnswerBytes(byte[] bytes, NodeCall call) {
      this.bytes = bytes;
      this.call = call;
      unwritten += bytes.length;
      front.take(bytes.length);
    }

    @Override
    public byte[] take() {
      return bytes;
    }

    @Override
    public int size() {
      return bytes.length;
    }

    @Override
    public void written(long at, long upTo) {
      synchronized (FrontConnection.this) {
        if (state != State.CLOSED) {
          unwritten -= bytes.length;
          front.giveBack(bytes.length);
        }
      }
      if (call != null) {
        front.written(call, at);
      }
    }
  }

  /** Bytes of answers that its client has not read yet. */
  synchronized long unwritten() {
    return unwritten;
  }

  /** Closes it where answers wait for a client that does not read; false where none do. */
  boolean closeUnread() {
    if (unwritten() == 0) {
      return false;
    }
    close(CloseReason.CLIENT_DOES_NOT_READ);
    return true;
  }

  /** A request that is over and of which nothing more can come. */
  private synchronized void forget(Exchange e) {
    if (open.remove(e.id, e)) {
      front.giveBack(EXCHANGE_BYTES);
    }
  }

  // ---- its end

  /** Whether it may be closed from here now; the lock is held. */
  private Verdict mayClose() {
    return Permits.mayClose(
        new Permits.Closing(unanswered, looking || UnreadBytes.on(channel), !outbox.idle()));
  }

  /**
   * Tells the other side that nothing more comes, where nothing is asked; the lock is held. That leaves before this
   * returns: what comes after it crossed it on the wire. Where an answer is still being written it is tried again after
   * that.
   */
  private boolean halfCloseIfFree(CloseReason why) {
    if (state != State.OPEN) {
      return false;
    }
    Verdict verdict = mayClose();
    if (verdict == Verdict.UNWRITTEN) {
      outbox.whenIdle(this::closeAfterAnswers);
    }
    if (!verdict.allowed()) {
      return false;
    }
    state = State.HALF_CLOSED;
    halfClosedAt = Clock.micros();
    endsBecause(why);
    outbox.finish();
    return true;
  }

  private synchronized void closeAfterAnswers() {
    if (closesAfterAnswers) {
      halfCloseIfFree(CloseReason.LAST_ANSWERED);
    }
  }

  /** Requests that were read in part and wait for the rest; the lock is held. */
  private Exchange oldestHalf() {
    Exchange oldest = null;
    for (Exchange e : open.values()) {
      if (!e.answered && !e.whole && (oldest == null || e.beganAt < oldest.beganAt)) {
        oldest = e;
      }
    }
    return oldest;
  }

  /** Since when its oldest half request has been read; {@code Long.MAX_VALUE} where there is none. */
  synchronized long oldestHalfSince() {
    Exchange oldest = oldestHalf();
    return oldest == null ? Long.MAX_VALUE : oldest.beganAt;
  }

  /** Refuses all requests that were read in part, to make room; what still comes of them is passed over. */
  void refuseHalves() {
    List<Exchange> halves;
    synchronized (this) {
      halves = open.values().stream().filter(e -> !e.answered && !e.whole).toList();
    }
    for (Exchange half : halves) {
      front.count("half a request refused for room");
      answer(half, Reason.BUSY);
    }
  }

  /**
   * Looks at its time limits.
   *
   * @param silent how long a connection may say nothing at first, and a request may lack its rest
   * @param idle how long it may be idle
   */
  void check(long now, long silent, long idle) {
    boolean over;
    synchronized (this) {
      Exchange half = oldestHalf();
      if (half != null && now - half.beganAt > silent) {
        front.count("half a request");
        answer(half, Reason.SLOW_SENDER);
      }
      over = state == State.HALF_CLOSED && now - halfClosedAt > LINGER;
      if (closesAfterAnswers) {
        halfCloseIfFree(CloseReason.LAST_ANSWERED);
      } else if (state == State.OPEN && requests > 0 && now - idleSince >= idle) {
        halfCloseIfFree(CloseReason.IDLE);
      } else if (state == State.OPEN
          && requests == 0
          && now - connectedAt >= silent
          && mayClose().allowed()) {
        endsBecause(CloseReason.SILENT);
        state = State.HALF_CLOSED;
        over = true;
      }
    }
    if (over) {
      close();
    }
  }

  /** Closes at once where nothing is asked and every answer is written; false where something is. */
  boolean closeIfFree() {
    synchronized (this) {
      if (state == State.CLOSED || !mayClose().allowed()) {
        return false;
      }
      state = State.HALF_CLOSED;
    }
    close(CloseReason.FOR_ROOM);
    return true;
  }

  /** Takes what has come, answers what is open, then half-closes; asked again and again while the dispatcher stops. */
  synchronized void drain() {
    closesAfterAnswers = true;
    halfCloseIfFree(CloseReason.STOPPING);
  }

  /** True where a client may still wait for what it asked: a whole request, bytes unread, an answer not written. */
  synchronized boolean owes() {
    boolean asked = open.values().stream().anyMatch(e -> e.whole && !e.answered);
    boolean mayBeAsked = state == State.OPEN && (looking || UnreadBytes.on(channel));
    return state != State.CLOSED && (asked || mayBeAsked || !outbox.idle());
  }

  /** Since when it has been idle; {@code Long.MAX_VALUE} where a request is open. One that never asked comes first. */
  synchronized long idleSince() {
    return state != State.OPEN
        ? 0
        : unanswered > 0 ? Long.MAX_VALUE : requests == 0 ? connectedAt - SILENT_FIRST : idleSince;
  }

  /** True once a thread reads it: closing it frees one. */
  boolean hasThread() {
    return hasThread;
  }

  void closeIfStuck(long now, long most) {
    long since = outbox.writingSince();
    if (since > 0 && now - since > most) {
      close(CloseReason.CLIENT_DOES_NOT_READ);
    }
  }

  /** Ends the connection for a reason of its own. */
  private void close(CloseReason why) {
    endsBecause(why);
    close();
  }

  /** Ends the connection; clients of calls that are open have left. */
  void close() {
    List<NodeCall> left = new ArrayList<>();
    CloseReason why;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      state = State.CLOSED;
      open.values().stream()
          .filter(e -> !e.answered && e.call != null)
          .forEach(e -> left.add(e.call));
      open.values().forEach(e -> front.giveBack(e.release() + EXCHANGE_BYTES));
      open.clear();
      front.giveBack(unwritten);
      unwritten = 0;
      why = closedBecause == null ? CloseReason.STOPPING : closedBecause;
    }
    outbox.close();
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    front.closed(channel, why, left.size());
    left.forEach(front::gone);
  }
}
