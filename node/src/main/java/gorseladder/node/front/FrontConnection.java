package gorseladder.node.front;

import gorseladder.admission.OpenRequests;
import gorseladder.admission.ReadTurns;
import gorseladder.answers.Reason;
import gorseladder.core.FinalAnswer;
import gorseladder.node.NodeCall;
import gorseladder.permits.ClientView;
import gorseladder.permits.Permits;
import gorseladder.permits.Verdict;
import gorseladder.runtime.ArrivalTimes;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Outbox;
import gorseladder.runtime.PeerPresence;
import gorseladder.runtime.TurnQueue;
import gorseladder.runtime.UnreadBytes;
import gorseladder.wire.fastcgi.BadRecord;
import gorseladder.wire.fastcgi.NameValues;
import gorseladder.wire.fastcgi.RecordParser;
import gorseladder.wire.fastcgi.RecordWriter;
import gorseladder.wire.fastcgi.RecordWriter.Status;
import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A connection of a web server. Its thread reads and parses the records; any thread may answer, and the outbox writes
 * the answers. Each request on the connection gets exactly one answer, or the connection ends.
 *
 * <p>The state changes in one direction only, each time under the lock of this object: open, half-closed, closed. A
 * connection is half-closed when it has no unanswered request and no unread bytes; it accepts nothing afterwards, so
 * that a request in transit meets an orderly end and not a reset. All conditions of a change are checked under the lock
 * that makes the change.
 */
final class FrontConnection implements RecordParser.Sink, NodeCall.Client {
  private static final int MAX_UNFINISHED_REQUESTS = 1_024;
  private static final int MAX_PARAMS_BYTES = 8_192;
  private static final int MAX_PARAMS = 100;
  private static final int RESPONDER_ROLE = 1;
  private static final int MAX_QUEUED_BYTES = 1 << 20;
  /** How long the client may take to close after a half-close. */
  private static final long LINGER_MICROS = 1_000_000;
  /**
   * Added to the idle time of a connection without any request, so that it is closed before connections that had one.
   */
  private static final long NEVER_USED_IDLE_BONUS_MICROS = 600_000_000;

  private static final byte[] EMPTY = {};
  /** Memory of a request beside its bytes, taken from the budget until it is answered. */
  private static final int REQUEST_OVERHEAD_BYTES = 192;

  private enum State {
    OPEN,
    HALF_CLOSED,
    CLOSED
  }

  private final FastCgiFront front;
  private final SocketChannel channel;
  private final Outbox outbox;
  private final ClientAnswers answers;
  private final FrontRequestTable requests = new FrontRequestTable();
  private final OpenRequests openRequests = new OpenRequests();
  private final long connectedAt = Clock.micros();
  private long idleSince = connectedAt;
  private int answeredRequests;
  /** Whether a thread reads this connection; until then it waits for one. */
  private volatile boolean hasThread;

  private State state = State.OPEN;
  private long halfClosedAt;
  /** Whether the connection closes as soon as nothing is unanswered; requests that arrive before are accepted. */
  private boolean closesAfterAnswers;
  /** Whether its thread holds bytes that it has not parsed yet. */
  private boolean parsing;

  private final ArrivalTimes arrivals;
  /** Bytes read since the last sound request; written by the thread of the connection only. */
  private volatile long unsoundBytes;
  /** Whether a call that came on it was served. */
  private boolean hasServed;
  /** Why the connection ends; the first reason set is kept. */
  private CloseReason closeReason;

  /**
   * Creates the state of a connection that was just accepted.
   *
   * @param waitedSince since when the connection, and data sent on it, may have waited to be accepted
   */
  FrontConnection(FastCgiFront front, SocketChannel channel, long waitedSince) {
    this.front = front;
    this.channel = channel;
    this.arrivals = new ArrivalTimes(front::earliestArrival, waitedSince);
    this.outbox = new Outbox(front.writers(), MAX_QUEUED_BYTES, e -> close());
    this.answers = new ClientAnswers(front, this, outbox);
    outbox.open(channel);
  }

  /** Reads until the connection ends; the calling thread serves only this connection. */
  void run() throws IOException {
    hasThread = true;
    ConnectionReader reader = new ConnectionReader(channel, arrivals, front.readBuffers());
    TurnQueue.Turn turn = front.readTurns().newTurn();
    try {
      channel.socket().setTcpNoDelay(true);
      while (reader.awaitBytes()) {
        turn.setYielding(beginParsing());
        turn.acquire();
        try {
          reader.readAndParse(this, count -> unsoundBytes += count);
        } finally {
          turn.release();
        }
        endParsing();
        front.reclaimIfExceeded();
      }
      setCloseReason(CloseReason.CLIENT_CLOSED);
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

  /** Notes that there are bytes to parse; returns whether this connection lets others go first. */
  private synchronized boolean beginParsing() {
    parsing = true;
    return ReadTurns.yields(requests.unfinishedCount(), unsoundBytes);
  }

  private synchronized void endParsing() {
    parsing = false;
    if (closesAfterAnswers) {
      halfCloseIfIdle(CloseReason.LAST_ANSWERED);
    }
  }

  // ---- records, on the thread of the connection

  @Override
  public void begin(int id, int role, boolean keepsConnection) {
    boolean inUse;
    boolean tooManyOpen;
    FrontRequest request = new FrontRequest(this, id);
    if (tooManyUnfinished()) {
      close(CloseReason.ENDLESS_REQUESTS);
      return;
    }
    if (!front.reserve(REQUEST_OVERHEAD_BYTES)) {
      refuseUnstored(id, keepsConnection);
      return;
    }
    synchronized (this) {
      inUse = requests.get(id) != null;
      if (state != State.OPEN || inUse) {
        front.giveBack(REQUEST_OVERHEAD_BYTES);
      }
      if (state != State.OPEN) {
        // It was in transit when the output was shut down; its client repeats it elsewhere.
        return;
      }
      tooManyOpen = !inUse && !openRequests.mayBegin(requests.unansweredCount(), request.startedAt);
      if (!inUse) {
        requests.add(request);
        front.partialRequests().add(request);
        closesAfterAnswers |= !keepsConnection;
      }
    }
    if (inUse) {
      // Two requests with one id: their answers could not be told apart.
      close(CloseReason.NUMBER_IN_USE);
    } else if (tooManyOpen || role != RESPONDER_ROLE) {
      front.count(tooManyOpen ? "over 32 open or withdrawn" : "unknown role");
      answer(
          request,
          RecordWriter.endRequest(id, tooManyOpen ? Status.OVERLOADED : Status.UNKNOWN_ROLE, 0));
    }
  }

  /** Refuses a request for which there is no memory. It is not stored, so that its further records are ignored. */
  private void refuseUnstored(int id, boolean keepsConnection) {
    front.refusedForRoom("no room for a request");
    boolean put;
    synchronized (this) {
      if (state != State.OPEN) {
        return;
      }
      requests.addAnswered();
      closesAfterAnswers |= !keepsConnection;
      put = addAnswer(RecordWriter.endRequest(id, Status.OVERLOADED, 0), null);
    }
    sendAnswer(put);
  }

  /** Whether the client has begun too many requests without ending them; it is disconnected then. */
  private synchronized boolean tooManyUnfinished() {
    return requests.unfinishedCount() >= MAX_UNFINISHED_REQUESTS;
  }

  private synchronized FrontRequest get(int id) {
    return requests.get(id);
  }

  private synchronized void endOfAnswered() {
    requests.endOfAnswered();
  }

  @Override
  public void abort(int id) {
    FrontRequest request = get(id);
    if (request == null) {
      endOfAnswered();
      return;
    }
    front.count("aborted");
    NodeCall call = request.call;
    answer(request, RecordWriter.endRequest(id, Status.REQUEST_COMPLETE, 1));
    if (call != null) {
      noteWithdrawn();
      front.clientGone(call);
    }
    if (!request.complete) {
      // Nothing more comes for it.
      endOfAnswered();
    }
  }

  private synchronized void noteWithdrawn() {
    openRequests.withdrawn(Clock.micros());
  }

  @Override
  public void params(int id, byte[] bytes, int from, int length) {
    FrontRequest request = get(id);
    if (request != null && !request.hasParams) {
      bufferBytes(request, bytes, from, length, MAX_PARAMS_BYTES, Reason.HEADERS_TOO_LARGE);
    }
  }

  /**
   * Buffers bytes of a partial request. They count against the budget of the front; when it is exhausted, the oldest
   * partial requests of all connections are refused.
   */
  private void bufferBytes(
      FrontRequest request, byte[] bytes, int from, int length, int limit, Reason tooLarge) {
    do {
      synchronized (this) {
        if (request.answered || state == State.CLOSED) {
          // It was refused, or the connection ended, while room was made; bytes taken now would
          // never be given back.
          return;
        }
        if (request.used + length > limit) {
          break;
        }
        int growth = request.growthFor(length, limit);
        if (front.tryReserve(growth)) {
          request.append(bytes, from, length, growth);
          return;
        }
      }
    } while (front.reclaimMemory());
    reject(request, request.used + length > limit ? tooLarge : Reason.BUSY);
  }

  @Override
  public void paramsEnd(int id) {
    FrontRequest request = get(id);
    if (request == null || request.hasParams) {
      return;
    }
    byte[] bytes;
    int length;
    synchronized (this) {
      if (request.answered || state == State.CLOSED) {
        return;
      }
      bytes = request.buffer;
      length = request.used;
    }
    try {
      Map<String, String> params =
          NameValues.read(bytes, length, MAX_PARAMS, RequestReader.NAMES::contains);
      if (!keepParams(request, params)) {
        reject(request, Reason.BUSY);
      }
    } catch (BadRecord bad) {
      reject(request, Reason.BAD_MESSAGE);
    }
  }

  /** Replaces the bytes of the parameters by their values; returns false if there is no memory for these. */
  private boolean keepParams(FrontRequest request, Map<String, String> params) {
    do {
      synchronized (this) {
        if (request.answered || state == State.CLOSED) {
          return true;
        }
        int growth = request.growthForParams(params);
        if (growth <= 0 || front.tryReserve(growth)) {
          front.giveBack(Math.max(0, -growth));
          request.setParams(params, growth);
          return true;
        }
      }
    } while (front.reclaimMemory());
    return false;
  }

  @Override
  public void stdin(int id, byte[] bytes, int from, int length) {
    FrontRequest request = get(id);
    if (request == null || request.complete) {
      return;
    }
    if (!request.hasParams) {
      reject(request, Reason.BAD_MESSAGE);
    } else {
      bufferBytes(request, bytes, from, length, RequestReader.MAX_BODY_BYTES, Reason.TOO_LARGE);
    }
  }

  @Override
  public void stdinEnd(int id) {
    FrontRequest request = get(id);
    if (request == null) {
      endOfAnswered();
      return;
    }
    if (request.complete) {
      front.count("second end of a body");
      return;
    }
    if (!request.hasParams) {
      reject(request, Reason.BAD_MESSAGE);
      endOfAnswered();
      return;
    }
    byte[] body;
    Map<String, String> params;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      if (request.answered) {
        requests.endOfAnswered();
        return;
      }
      requests.complete(request);
      front.partialRequests().remove(request);
      params = request.params;
      body = request.takeBody();
      front.giveBack(request.release());
    }
    if (FastCgiFront.LIVENESS_PATH.equals(RequestReader.path(params))) {
      unsoundBytes = 0;
      answer(
          request,
          RecordWriter.response(
              id, front.live() ? 200 : 503, Map.of("Content-Type", "text/plain"), EMPTY));
      return;
    }
    try {
      front.acceptRequest(
          params,
          body,
          Arrival.of(arrivals),
          (call, end) -> callEnded(request, call, end),
          call -> callAccepted(request, call));
      unsoundBytes = 0;
    } catch (RequestReader.Unusable bad) {
      front.count("unusable: " + bad.getMessage());
      answer(request, bad.reason());
    }
  }

  /** Sets the call of a request. If the connection has ended meanwhile, its client has left. */
  private void callAccepted(FrontRequest request, NodeCall call) {
    boolean clientLeft;
    call.setClient(this);
    synchronized (this) {
      request.call = call;
      clientLeft = state == State.CLOSED;
    }
    if (clientLeft) {
      front.clientGone(call);
    }
  }

  @Override
  public ClientView view(long now) {
    PeerPresence.State peer = PeerPresence.of(channel);
    return peer == PeerPresence.State.CLOSED
        ? ClientView.GONE
        : ClientView.ofOpen(
            peer == PeerPresence.State.UNREAD || isParsing(), arrivals.processedUpTo(), now);
  }

  private synchronized boolean isParsing() {
    return parsing;
  }

  /** The reader of the connection finds its end later, behind the bytes that are unread. */
  @Override
  public void hasLeft(NodeCall call) {
    front.clientGone(call);
  }

  @Override
  public void getValues(byte[] content) {
    try {
      answerManagementRecord(
          ManagementRecords.values(content, front.maxConnections(), OpenRequests.MAX_OPEN));
    } catch (BadRecord e) {
      close(CloseReason.BAD_RECORD);
    }
  }

  @Override
  public void unknownType(int type) {
    answerManagementRecord(RecordWriter.unknownType(type));
  }

  /** A client that leaves such answers unread is disconnected when they take the memory that others need. */
  private void answerManagementRecord(byte[] bytes) {
    boolean put;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      put = answers.addForManagementRecord(bytes);
    }
    sendAnswer(put);
  }

  // ---- answers, on any thread

  private void callEnded(FrontRequest request, NodeCall call, FinalAnswer end) {
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
    answer(request, RecordWriter.response(request.id, end.reason().status, fields, body), call);
    front.reclaimIfExceeded();
  }

  /** Answers a request that cannot be used; the rest of the request is read and ignored. */
  private void reject(FrontRequest request, Reason reason) {
    front.count("unusable: " + reason.word());
    answer(request, reason);
  }

  /**
   * Refuses a request on any thread; returns false if its last byte has arrived or it was answered, since its call may
   * be on its way to a runner then.
   */
  private boolean refuseIfPartial(FrontRequest request, Reason reason) {
    byte[] bytes = refusal(request, reason);
    boolean put;
    synchronized (this) {
      if (state == State.CLOSED || !request.isPartial()) {
        return false;
      }
      put = addAnswer(request, bytes, null);
    }
    sendAnswer(put);
    return true;
  }

  private void answer(FrontRequest request, Reason reason) {
    answer(request, refusal(request, reason));
  }

  private static byte[] refusal(FrontRequest request, Reason reason) {
    return RecordWriter.response(
        request.id, reason.status, Map.of("Content-Type", "text/plain"), EMPTY);
  }

  private void answer(FrontRequest request, byte[] bytes) {
    answer(request, bytes, null);
  }

  /** Answers a request once, as the result of a call or, if {@code call} is null, without one. */
  private void answer(FrontRequest request, byte[] bytes, NodeCall call) {
    boolean put;
    synchronized (this) {
      if (state == State.CLOSED || request.answered) {
        return;
      }
      put = addAnswer(request, bytes, call);
    }
    sendAnswer(put);
  }

  /** Adds the answer of a request, which is forgotten; the lock is held. */
  private boolean addAnswer(FrontRequest request, byte[] bytes, NodeCall call) {
    request.answered = true;
    front.partialRequests().remove(request);
    front.giveBack(request.release() + (requests.remove(request) ? REQUEST_OVERHEAD_BYTES : 0));
    return addAnswer(bytes, call);
  }

  /**
   * Counts and queues an answer; the lock is held, so that no other thread sees the connection as idle before its last
   * answer is queued. Returns false if the client does not read its answers.
   */
  private boolean addAnswer(byte[] bytes, NodeCall call) {
    hasServed |= call != null && call.isServed();
    answeredRequests++;
    idleSince = Clock.micros();
    boolean put = answers.add(bytes, call);
    if (put && closesAfterAnswers) {
      halfCloseIfIdle(CloseReason.LAST_ANSWERED);
    }
    return put;
  }

  /** Writes a queued answer, or closes the connection if it was not queued. */
  private void sendAnswer(boolean put) {
    if (put) {
      outbox.send();
    } else {
      close(CloseReason.CLIENT_DOES_NOT_READ);
    }
  }

  /** Memory of the answers that the client leaves unread; read without the lock. */
  long unreadAnswerBytes(long now) {
    return answers.unreadBytes(now);
  }

  /** Closes the connection if answers wait for a client that does not read; returns false if none do. */
  boolean closeIfAnswersUnread() {
    if (unreadAnswerBytes(Clock.micros()) == 0) {
      return false;
    }
    close(CloseReason.CLIENT_DOES_NOT_READ);
    return true;
  }

  // ---- closing

  /** Whether this side may close the connection now; the lock is held. */
  private Verdict mayClose() {
    return Permits.mayClose(new Permits.Closing(
        requests.unansweredCount(), parsing || UnreadBytes.on(channel), !outbox.idle()));
  }

  /**
   * Shuts down the output if no request is unanswered; the lock is held. The shutdown is sent before this method
   * returns, so that whatever arrives afterwards was in transit. If an answer is still being written, this is tried
   * again after the write.
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

  private synchronized List<FrontRequest> partialsOlderThan(long age, long now) {
    FrontRequest oldest = requests.oldestPartial();
    return oldest == null || now - oldest.startedAt <= age
        ? List.of()
        : requests.partials().stream()
            .filter(partial -> now - partial.startedAt > age)
            .toList();
  }

  /** Refuses all partial requests to free their memory; records that still arrive for them are ignored. */
  void refusePartialRequests() {
    List<FrontRequest> partials;
    synchronized (this) {
      partials = requests.partials();
    }
    refuseForRoom(partials);
  }

  private void refuseForRoom(List<FrontRequest> partials) {
    for (FrontRequest partial : partials) {
      if (refuseIfPartial(partial, Reason.BUSY)) {
        front.refusedForRoom("half a request refused for room");
      }
    }
  }

  /**
   * Applies the time limits, in microseconds.
   *
   * @param silentTimeout limit for the first request of a connection, and for the rest of a partial request
   * @param idleTimeout limit for an idle connection
   */
  void checkTimeouts(long now, long silentTimeout, long idleTimeout) {
    boolean mustClose;
    for (FrontRequest partial : partialsOlderThan(silentTimeout, now)) {
      if (refuseIfPartial(partial, Reason.SLOW_SENDER)) {
        front.count("half a request");
      }
    }
    synchronized (this) {
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

  /** Closes the connection at once if nothing is unanswered, unread or unwritten; returns false otherwise. */
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

  /**
   * Accepts what has arrived, answers all open requests, then half-closes; called repeatedly while the dispatcher
   * stops.
   */
  synchronized void drain() {
    closesAfterAnswers = true;
    halfCloseIfIdle(CloseReason.STOPPING);
  }

  /**
   * Whether a client may still wait for an answer: a complete request is unanswered, bytes are unread, or an answer is
   * not written.
   */
  synchronized boolean owesAnswers() {
    boolean mayHaveUnparsedRequest = state == State.OPEN && (parsing || UnreadBytes.on(channel));
    return state != State.CLOSED
        && (requests.hasComplete() || mayHaveUnparsedRequest || !outbox.idle());
  }

  /**
   * Since when the connection is idle; {@code Long.MAX_VALUE} if a request is open. Connections without any request
   * come first.
   */
  synchronized long idleSince() {
    return state != State.OPEN
        ? 0
        : requests.unansweredCount() > 0
            ? Long.MAX_VALUE
            : answeredRequests == 0 ? connectedAt - NEVER_USED_IDLE_BONUS_MICROS : idleSince;
  }

  /** Number of requests without an answer. */
  synchronized int unansweredCount() {
    return requests.unansweredCount();
  }

  /** Number of requests whose last byte has not arrived, answered or not. */
  synchronized int unfinishedCount() {
    return requests.unfinishedCount();
  }

  /**
   * Since when no request is open, or only unfinished ones; {@code Long.MAX_VALUE} if a complete one is unanswered.
   */
  synchronized long unusedSince() {
    return Math.min(idleSince(), unfinishedSince());
  }

  private long unfinishedSince() {
    FrontRequest oldest =
        state == State.OPEN && !requests.hasComplete() ? requests.oldestPartial() : null;
    return oldest == null ? Long.MAX_VALUE : oldest.startedAt;
  }

  /**
   * Refuses the unfinished requests and closes the connection, if it has been unused without a break and nothing is
   * unread. A connection that sends nothing sound, at whatever speed, need not rest for it.
   *
   * @param since what {@link #unusedSince} returned when the connection was chosen
   */
  boolean closeIfUnused(long since) {
    boolean sendsNothingSound;
    List<FrontRequest> partials;
    synchronized (this) {
      sendsNothingSound = sendsNothingSound();
      boolean rests = unusedSince() == since && !parsing && !UnreadBytes.on(channel);
      if (!rests && !sendsNothingSound) {
        return false;
      }
      partials = requests.partials();
    }
    refuseForRoom(partials);
    return closeIfIdle() || sendsNothingSound && closeIfNothingSound();
  }

  /** Whether much came on it, no call was served, and no complete request is open; the lock is held. */
  private boolean sendsNothingSound() {
    return state == State.OPEN
        && ReadTurns.isUnsound(unsoundBytes)
        && !hasServed
        && !requests.hasComplete();
  }

  private boolean closeIfNothingSound() {
    synchronized (this) {
      if (!sendsNothingSound()) {
        return false;
      }
      state = State.HALF_CLOSED;
    }
    close(CloseReason.FOR_ROOM);
    return true;
  }

  /** Whether a call that came on it was served. */
  synchronized boolean hasServed() {
    return hasServed;
  }

  /** Whether a thread reads this connection, which closing would free. */
  boolean hasThread() {
    return hasThread;
  }

  void closeIfWriteStuck(long now, long timeout) {
    long since = outbox.writingSince();
    if (since > 0 && now - since > timeout) {
      close(CloseReason.CLIENT_DOES_NOT_READ);
    }
  }

  /** Closes the connection for the given reason. */
  private void close(CloseReason reason) {
    setCloseReason(reason);
    close();
  }

  /** Closes the connection; the clients of its open calls count as gone. */
  void close() {
    List<NodeCall> abandonedCalls = new ArrayList<>();
    CloseReason reason;
    synchronized (this) {
      if (state == State.CLOSED) {
        return;
      }
      state = State.CLOSED;
      requests.all().stream()
          .filter(request -> request.call != null)
          .forEach(request -> abandonedCalls.add(request.call));
      requests.all().forEach(request -> {
        front.partialRequests().remove(request);
        front.giveBack(request.release() + REQUEST_OVERHEAD_BYTES);
      });
      requests.clear();
      answers.close();
      reason = closeReason == null ? CloseReason.STOPPING : closeReason;
    }
    outbox.close();
    try {
      channel.close();
    } catch (IOException e) {
      // The descriptor is released in any case.
    }
    front.connectionClosed(channel, reason, abandonedCalls.size());
    abandonedCalls.forEach(front::clientGone);
  }
}
