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
  private static final int PEEK_BYTES = 1;

  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final int BUFFER_BYTES = 8_192;
  private static final int MAX_OPEN_REQUESTS = 32;
  private static final int MAX_REQUEST_IDS = 1_024;
  private static final int MAX_PARAMS_BYTES = 8_192;
  private static final int MAX_PARAMS = 100;
  private static final int RESPONDER_ROLE = 1;
  private static final int MAX_QUEUED_BYTES = 1 << 20;
  /** How long the other side may take to close after a half-close, in microseconds. */
  private static final long LINGER_MICROS = 1_000_000;
  /** By how much a connection that never asked counts as idle for longer than one that did. */
  private static final long NEVER_USED_IDLE_BONUS_MICROS = 600_000_000;

  private static final byte[] EMPTY = {};
  /** What the first bytes of a request are given room for. */
  private static final int MIN_BUFFER_BYTES = 256;
  /** About what a request costs beside its bytes, until its last record has come. */
  private static final int REQUEST_OVERHEAD_BYTES = 192;

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
    private final long startedAt = Clock.micros();
    private byte[] buffer = EMPTY;
    private int used;
    private Map<String, String> params;
    /** Its last byte has come; from then on it is no half request. */
    private boolean complete;

    private NodeCall call;
    private boolean answered;
    /** Bytes of the front's budget that are taken for what it holds; the connection's lock's. */
    private int reservedBytes;

    private Exchange(int id) {
      this.id = id;
    }

    /** By how much the array has to grow for so many bytes more, within the bound. */
    private int growthFor(int length, int limit) {
      int wanted = used + length;
      return wanted <= buffer.length
          ? 0
          : Math.min(limit, Math.max(MIN_BUFFER_BYTES, Math.max(wanted, 2 * used))) - buffer.length;
    }

    /** Lets go of what it holds; returns the bytes to be given back. */
    private int release() {
      int bytes = reservedBytes;
      reservedBytes = 0;
      buffer = EMPTY;
      used = 0;
      params = null;
      return bytes;
    }

    /** Adds bytes for which there is room. */
    private void append(byte[] bytes, int from, int length, int growth) {
      if (growth > 0) {
        buffer = Arrays.copyOf(buffer, buffer.length + growth);
        reservedBytes += growth;
      }
      System.arraycopy(bytes, from, buffer, used, length);
      used += length;
    }
  }

  private final FastCgiFront front;
  private final SocketChannel channel;
  private final Outbox outbox;
  private final RecordParser parser = new RecordParser();
  private final Map<Integer, Exchange> exchanges = new HashMap<>();
  private final long connectedAt = Clock.micros();
  private long idleSince = connectedAt;
  private int answeredRequests;
  private int unansweredRequests;
  /** It is being read; until then it waits for a thread. */
  private volatile boolean hasThread;

  private State state = State.OPEN;
  private long halfClosedAt;
  /** Closes once nothing is open; it goes on taking what comes before. */
  private boolean closesAfterAnswers;
  /** Its thread has bytes that it has not looked at yet. */
  private boolean parsing;
  /** The thread's own. */
  private final ArrivalTimes arrivals;
  /** Bytes of answers that are not written yet; they count against the front's budget. */
  private long unwrittenBytes;
  /** Why it ends; the first reason that is told before its end counts. */
  private CloseReason closeReason;

  /**
   * A connection just accepted.
   *
   * @param waitedSince since when it may have waited to be accepted, with what was sent on it
   */
  FrontConnection(FastCgiFront front, SocketChannel channel, long waitedSince) {
    this.front = front;
    this.channel = channel;
    this.arrivals = new ArrivalTimes(front::earliestArrival, waitedSince);
    this.outbox = new Outbox(front.writers(), MAX_QUEUED_BYTES, e -> close());
    outbox.open(channel);
  }

  /** Reads until the connection ends; the whole life of its thread. */
  void run() throws IOException {
    hasThread = true;
    ByteBuffer buffer = ByteBuffer.allocate(INITIAL_BUFFER_BYTES);
    try {
      channel.socket().setTcpNoDelay(true);
      while (true) {
        buffer.clear().limit(PEEK_BYTES);
        arrivals.beforeRead(UnreadBytes.count(channel), Clock.micros());
        int count = channel.read(buffer);
        if (count < 0) {
          setCloseReason(CloseReason.CLIENT_CLOSED);
          break;
        }
        arrivals.afterRead(count, Clock.micros());
        setParsing(true);
        buffer.limit(buffer.capacity());
        if (channel.socket().getInputStream().available() > 0) {
          arrivals.readMore(channel.read(buffer));
        }
        parser.feed(buffer.array(), 0, buffer.position(), this);
        setParsing(false);
        if (buffer.position() == INITIAL_BUFFER_BYTES
            && buffer.capacity() == INITIAL_BUFFER_BYTES) {
          buffer = ByteBuffer.allocate(BUFFER_BYTES);
        }
      }
    } catch (BadRecord e) {
      setCloseReason(CloseReason.BAD_RECORD);
    } catch (IOException e) {
      setCloseReason(CloseReason.BROKEN);
      throw e;
    } finally {
      close();
    }
  }

  private synchronized void setCloseReason(CloseReason reason) {
    closeReason = closeReason == null ? reason : closeReason;
  }

  private synchronized void setParsing(boolean value) {
    parsing = value;
    if (!value && closesAfterAnswers) {
      halfCloseIfIdle(CloseReason.LAST_ANSWERED);
    }
  }

  // ---- records, on the connection's thread

  @Override
  public void begin(int id, int role, boolean keepsConnection) {
    boolean inUse;
    boolean tooManyOpen;
    Exchange exchange = new Exchange(id);
    if (tooManyRequestIds()) {
      close(CloseReason.ENDLESS_REQUESTS);
      return;
    }
    if (!front.reserve(REQUEST_OVERHEAD_BYTES)) {
      // Not kept, so that what comes after it is passed over.
      front.count("no room for a request");
      outbox.put(RecordWriter.endRequest(id, Status.OVERLOADED, 0));
      return;
    }
    synchronized (this) {
      if (state != State.OPEN || exchanges.containsKey(id)) {
        front.giveBack(REQUEST_OVERHEAD_BYTES);
      }
      if (state != State.OPEN) {
        // It crossed our end on the wire; nothing is taken any more, and its client asks again
        // elsewhere.
        return;
      }
      Exchange previous = exchanges.get(id);
      inUse = previous != null && !previous.answered;
      tooManyOpen = !inUse && unansweredRequests >= MAX_OPEN_REQUESTS;
      if (!inUse) {
        exchanges.put(id, exchange);
        unansweredRequests++;
        closesAfterAnswers |= !keepsConnection;
      }
    }
    if (inUse) {
      // Two requests under one number: nobody could tell whose an answer is.
      close(CloseReason.NUMBER_IN_USE);
    } else if (tooManyOpen || role != RESPONDER_ROLE) {
      front.count(tooManyOpen ? "over 32 open" : "unknown role");
      answer(
          exchange,
          RecordWriter.endRequest(id, tooManyOpen ? Status.OVERLOADED : Status.UNKNOWN_ROLE, 0));
    }
  }

  /** Requests answered early keep their number until their body ends; a client that never ends them is cut off. */
  private synchronized boolean tooManyRequestIds() {
    return exchanges.size() >= MAX_REQUEST_IDS;
  }

  private synchronized Exchange get(int id) {
    return exchanges.get(id);
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
      front.clientGone(call);
    }
    remove(e);
  }

  @Override
  public void params(int id, byte[] bytes, int from, int length) {
    Exchange e = get(id);
    if (e != null && !e.answered && e.params == null) {
      bufferBytes(e, bytes, from, length, MAX_PARAMS_BYTES, Reason.HEADERS_TOO_LARGE);
    }
  }

  /**
   * Keeps bytes of a request that is still being read. They count against the front's budget, for which the oldest half
   * requests of all connections make room.
   */
  private void bufferBytes(
      Exchange e, byte[] bytes, int from, int length, int limit, Reason tooLarge) {
    do {
      synchronized (this) {
        if (e.answered) {
          return;
        }
        if (e.used + length > limit) {
          break;
        }
        int growth = e.growthFor(length, limit);
        if (front.tryReserve(growth)) {
          e.append(bytes, from, length, growth);
          return;
        }
      }
    } while (front.reclaimMemory());
    reject(e, e.used + length > limit ? tooLarge : Reason.BUSY);
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
        e.params = NameValues.read(e.buffer, e.used, MAX_PARAMS);
        e.buffer = EMPTY;
        e.used = 0;
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
      bufferBytes(e, bytes, from, length, RequestReader.MAX_BODY_BYTES, Reason.TOO_LARGE);
    }
  }

  @Override
  public void stdinEnd(int id) {
    Exchange e = get(id);
    if (e == null) {
      return;
    }
    if (e.answered) {
      remove(e);
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
        remove(e);
        return;
      }
      e.complete = true;
      params = e.params;
      body = e.used == e.buffer.length ? e.buffer : Arrays.copyOf(e.buffer, e.used);
      e.buffer = EMPTY;
    }
    if (FastCgiFront.LIVENESS_PATH.equals(params.get("SCRIPT_NAME"))) {
      answer(
          e,
          RecordWriter.response(
              id, front.live() ? 200 : 503, Map.of("Content-Type", "text/plain"), EMPTY));
      remove(e);
      return;
    }
    try {
      front.acceptRequest(
          params,
          body,
          Arrival.of(arrivals),
          (call, end) -> callEnded(e, call, end),
          call -> callTaken(e, call));
    } catch (RequestReader.Unusable bad) {
      front.count("unusable: " + bad.getMessage());
      answer(e, bad.reason());
      remove(e);
    }
  }

  /** Names the call of a request; where the connection has ended by now its client has left. */
  private void callTaken(Exchange e, NodeCall call) {
    boolean clientLeft;
    synchronized (this) {
      e.call = call;
      clientLeft = state == State.CLOSED;
    }
    if (clientLeft) {
      front.clientGone(call);
    }
  }

  @Override
  public void getValues(byte[] content) {
    Map<String, String> answer = new LinkedHashMap<>();
    try {
      Map<String, String> known = Map.of(
          "FCGI_MAX_CONNS",
          Integer.toString(front.maxConnections()),
          "FCGI_MAX_REQS",
          Integer.toString(front.maxConnections() * MAX_OPEN_REQUESTS),
          "FCGI_MPXS_CONNS",
          "1");
      NameValues.read(content, content.length, MAX_PARAMS).keySet().stream()
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

  private void callEnded(Exchange e, NodeCall call, FinalAnswer end) {
    if (end.reason().kind == Reason.Kind.GONE) {
      return;
    }
    Map<String, String> fields = new LinkedHashMap<>();
    if (end.reason().kind == Reason.Kind.SERVED) {
      fields.put("Content-Type", "application/octet-stream");
    } else if (end.retryAfter() > 0) {
      fields.put("Retry-After-Ms", Long.toString((end.retryAfter() + 999) / 1000));
    }
    byte[] body = end.body() == null ? EMPTY : end.body();
    answer(e, RecordWriter.response(e.id, end.reason().status, fields, body), call);
    remove(e);
  }

  /** Answers what cannot be used; the rest of it is read on and passed over. */
  private void reject(Exchange e, Reason reason) {
    front.count("unusable: " + reason.word());
    answer(e, reason);
  }

  private void answer(Exchange e, Reason reason) {
    answer(
        e, RecordWriter.response(e.id, reason.status, Map.of("Content-Type", "text/plain"), EMPTY));
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
      answeredRequests++;
      unansweredRequests--;
      idleSince = Clock.micros();
      // Added while the lock is held: seen from outside nothing is open only once the last answer
      // is on its way.
      put = outbox.add(new AnswerBytes(bytes, call));
      if (put && closesAfterAnswers) {
        halfCloseIfIdle(CloseReason.LAST_ANSWERED);
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
      unwrittenBytes += bytes.length;
      front.forceReserve(bytes.length);
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
          unwrittenBytes -= bytes.length;
          front.giveBack(bytes.length);
        }
      }
      if (call != null) {
        front.answerWritten(call, at);
      }
    }
  }

  /** Bytes of answers that its client has not read yet. */
  synchronized long unwrittenBytes() {
    return unwrittenBytes;
  }

  /** Closes it where answers wait for a client that does not read; false where none do. */
  boolean closeIfAnswersUnread() {
    if (unwrittenBytes() == 0) {
      return false;
    }
    close(CloseReason.CLIENT_DOES_NOT_READ);
    return true;
  }

  /** A request that is over and of which nothing more can come. */
  private synchronized void remove(Exchange e) {
    if (exchanges.remove(e.id, e)) {
      front.giveBack(REQUEST_OVERHEAD_BYTES);
    }
  }

  // ---- its end

  /** Whether it may be closed from here now; the lock is held. */
  private Verdict mayClose() {
    return Permits.mayClose(new Permits.Closing(
        unansweredRequests, parsing || UnreadBytes.on(channel), !outbox.idle()));
  }

  /**
   * Tells the other side that nothing more comes, where nothing is asked; the lock is held. That leaves before this
   * returns: what comes after it crossed it on the wire. Where an answer is still being written it is tried again after
   * that.
   */
  private boolean halfCloseIfIdle(CloseReason reason) {
    if (state != State.OPEN) {
      return false;
    }
    Verdict verdict = mayClose();
    if (verdict == Verdict.UNWRITTEN) {
      outbox.whenIdle(this::retryHalfClose);
    }
    if (!verdict.allowed()) {
      return false;
    }
    state = State.HALF_CLOSED;
    halfClosedAt = Clock.micros();
    setCloseReason(reason);
    outbox.finish();
    return true;
  }

  private synchronized void retryHalfClose() {
    if (closesAfterAnswers) {
      halfCloseIfIdle(CloseReason.LAST_ANSWERED);
    }
  }

  /** Requests that were read in part and wait for the rest; the lock is held. */
  private Exchange oldestPartial() {
    Exchange oldest = null;
    for (Exchange e : exchanges.values()) {
      if (!e.answered && !e.complete && (oldest == null || e.startedAt < oldest.startedAt)) {
        oldest = e;
      }
    }
    return oldest;
  }

  /** Since when its oldest half request has been read; {@code Long.MAX_VALUE} where there is none. */
  synchronized long oldestPartialSince() {
    Exchange oldest = oldestPartial();
    return oldest == null ? Long.MAX_VALUE : oldest.startedAt;
  }

  /** Refuses all requests that were read in part, to make room; what still comes of them is passed over. */
  void refusePartialRequests() {
    List<Exchange> partials;
    synchronized (this) {
      partials =
          exchanges.values().stream().filter(e -> !e.answered && !e.complete).toList();
    }
    for (Exchange partial : partials) {
      front.count("half a request refused for room");
      answer(partial, Reason.BUSY);
    }
  }

  /**
   * Looks at its time limits.
   *
   * @param silent how long a connection may say nothing at first, and a request may lack its rest
   * @param idle how long it may be idle
   */
  void checkTimeouts(long now, long silentTimeout, long idleTimeout) {
    boolean mustClose;
    synchronized (this) {
      Exchange partial = oldestPartial();
      if (partial != null && now - partial.startedAt > silentTimeout) {
        front.count("half a request");
        answer(partial, Reason.SLOW_SENDER);
      }
      mustClose = state == State.HALF_CLOSED && now - halfClosedAt > LINGER_MICROS;
      if (closesAfterAnswers) {
        halfCloseIfIdle(CloseReason.LAST_ANSWERED);
      } else if (state == State.OPEN && answeredRequests > 0 && now - idleSince >= idleTimeout) {
        halfCloseIfIdle(CloseReason.IDLE);
      } else if (state == State.OPEN
          && answeredRequests == 0
          && now - connectedAt >= silentTimeout
          && mayClose().allowed()) {
        setCloseReason(CloseReason.SILENT);
        state = State.HALF_CLOSED;
        mustClose = true;
      }
    }
    if (mustClose) {
      close();
    }
  }

  /** Closes at once where nothing is asked and every answer is written; false where something is. */
  boolean closeIfIdle() {
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
    halfCloseIfIdle(CloseReason.STOPPING);
  }

  /** True where a client may still wait for what it asked: a whole request, bytes unread, an answer not written. */
  synchronized boolean owesAnswers() {
    boolean hasCompleteRequest =
        exchanges.values().stream().anyMatch(e -> e.complete && !e.answered);
    boolean mayHaveUnparsedRequest = state == State.OPEN && (parsing || UnreadBytes.on(channel));
    return state != State.CLOSED
        && (hasCompleteRequest || mayHaveUnparsedRequest || !outbox.idle());
  }

  /** Since when it has been idle; {@code Long.MAX_VALUE} where a request is open. One that never asked comes first. */
  synchronized long idleSince() {
    return state != State.OPEN
        ? 0
        : unansweredRequests > 0
            ? Long.MAX_VALUE
            : answeredRequests == 0 ? connectedAt - NEVER_USED_IDLE_BONUS_MICROS : idleSince;
  }

  /** True once a thread reads it: closing it frees one. */
  boolean hasThread() {
    return hasThread;
  }

  void closeIfWriteStuck(long now, long timeout) {
    long since = outbox.writingSince();
    if (since > 0 && now - since > timeout) {
      close(CloseReason.CLIENT_DOES_NOT_READ);
    }
  }

  /** Ends the connection for a reason of its own. */
  private void close(CloseReason reason) {
    setCloseReason(reason);
    close();
  }

  /** Ends the connection; clients of calls that are open have left. */
  void close() {
    List<NodeCall> abandonedCalls = new ArrayList<>();
    CloseReason reason;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      state = State.CLOSED;
      exchanges.values().stream()
          .filter(e -> !e.answered && e.call != null)
          .forEach(e -> abandonedCalls.add(e.call));
      exchanges.values().forEach(e -> front.giveBack(e.release() + REQUEST_OVERHEAD_BYTES));
      exchanges.clear();
      front.giveBack(unwrittenBytes);
      unwrittenBytes = 0;
      reason = closeReason == null ? CloseReason.STOPPING : closeReason;
    }
    outbox.close();
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    front.connectionClosed(channel, reason, abandonedCalls.size());
    abandonedCalls.forEach(front::clientGone);
  }
}
