package gorseladder.node.front;

import gorseladder.answers.Reason;
import gorseladder.core.FinalAnswer;
import gorseladder.node.NodeCall;
import gorseladder.runtime.Clock;
import gorseladder.runtime.Outbox;
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
 * One connection of a web server. Its thread reads and parses; answers come from any thread and leave by the outbox. Each
 * request on it gets one answer, or the connection ends.
 */
final class FrontConnection implements RecordParser.Sink {
  private static final int FIRST_READ = 512;
  private static final int READ = 8_192;
  private static final int MOST_OPEN = 32;
  private static final int MOST_NUMBERS = 1_024;
  private static final int MOST_PARAMS = 8_192;
  private static final int MOST_PAIRS = 100;
  private static final int RESPONDER = 1;
  private static final int MOST_WAITING_BYTES = 1 << 20;
  /** By how much a connection that never asked counts as idle for longer than one that did. */
  private static final long SILENT_FIRST = 600_000_000;
  private static final byte[] NOTHING = {};

  /** A request on this connection, from BEGIN_REQUEST to END_REQUEST; what still comes for it after that is passed over. */
  private static final class Exchange {
    private final int id;
    private final long beganAt = Clock.micros();
    private byte[] gathered = NOTHING;
    private int has;
    private Map<String, String> params;
    private NodeCall call;
    private boolean answered;

    private Exchange(int id) {
      this.id = id;
    }

    /** Adds bytes; false where they pass the bound, and then nothing is kept. */
    private boolean add(byte[] bytes, int from, int length, int most) {
      if (has + length > most) {
        gathered = NOTHING;
        return false;
      }
      if (has + length > gathered.length) {
        gathered = Arrays.copyOf(gathered, Math.min(most, Math.max(256, Math.max(has + length, 2 * has))));
      }
      System.arraycopy(bytes, from, gathered, has, length);
      has += length;
      return true;
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
  private boolean ended;
  private boolean closesAfterAnswers;

  FrontConnection(FastCgiFront front, SocketChannel channel) {
    this.front = front;
    this.channel = channel;
    this.outbox = new Outbox(front.writers(), MOST_WAITING_BYTES, e -> close());
    outbox.open(channel);
  }

  /** Reads until the connection ends; the whole life of its thread. */
  void run() throws IOException {
    ByteBuffer buffer = ByteBuffer.allocate(FIRST_READ);
    try {
      while (true) {
        buffer.clear();
        int count = channel.read(buffer);
        if (count < 0) {
          break;
        }
        parser.feed(buffer.array(), 0, count, this);
        if (count == FIRST_READ && buffer.capacity() == FIRST_READ) {
          buffer = ByteBuffer.allocate(READ);
        }
      }
    } catch (BadRecord e) {
      front.count("bad record");
    } finally {
      close();
    }
  }

  // ---- records, on the connection's thread

  @Override
  public void begin(int id, int role, boolean keeps) {
    boolean inUse;
    boolean over;
    if (endless()) {
      front.count("too many requests without their ends");
      close();
      return;
    }
    synchronized (this) {
      Exchange before = open.get(id);
      inUse = before != null && !before.answered;
      over = !inUse && unanswered >= MOST_OPEN;
      if (!inUse) {
        open.put(id, new Exchange(id));
        unanswered++;
        closesAfterAnswers |= !keeps;
      }
    }
    if (inUse) {
      // Two requests under one number: nobody could tell whose an answer is.
      front.count("number in use");
      close();
    } else if (over || role != RESPONDER) {
      front.count(over ? "over 32 open" : "unknown role");
      answer(get(id), RecordWriter.end(id, over ? Status.OVERLOADED : Status.UNKNOWN_ROLE, 0));
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
    answer(e, RecordWriter.end(id, Status.REQUEST_COMPLETE, 1));
    if (call != null) {
      front.gone(call);
    }
    forget(e);
  }

  @Override
  public void params(int id, byte[] bytes, int from, int length) {
    Exchange e = get(id);
    if (e != null && !e.answered && e.params == null && !e.add(bytes, from, length, MOST_PARAMS)) {
      reject(e, Reason.HEADERS_TOO_LARGE);
    }
  }

  @Override
  public void paramsEnd(int id) {
    Exchange e = get(id);
    if (e == null || e.answered || e.params != null) {
      return;
    }
    try {
      e.params = NameValues.read(e.gathered, e.has, MOST_PAIRS);
      e.gathered = NOTHING;
      e.has = 0;
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
    } else if (!e.add(bytes, from, length, RequestReader.MOST_BODY)) {
      reject(e, Reason.TOO_LARGE);
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
    byte[] body = e.has == e.gathered.length ? e.gathered : Arrays.copyOf(e.gathered, e.has);
    e.gathered = NOTHING;
    if (FastCgiFront.LIVE.equals(e.params.get("SCRIPT_NAME"))) {
      answer(e, RecordWriter.response(id, front.live() ? 200 : 503, Map.of("Content-Type", "text/plain"), NOTHING));
      forget(e);
      return;
    }
    try {
      front.take(e.params, body, Clock.micros(), (call, end) -> ended(e, end), call -> {
        synchronized (this) {
          e.call = call;
        }
      });
    } catch (RequestReader.Unusable bad) {
      front.count("unusable: " + bad.getMessage());
      answer(e, bad.reason());
      forget(e);
    }
  }

  @Override
  public void getValues(byte[] content) {
    Map<String, String> answer = new LinkedHashMap<>();
    try {
      Map<String, String> known = Map.of("FCGI_MAX_CONNS", Integer.toString(front.mostConnections()), "FCGI_MAX_REQS",
          Integer.toString(front.mostConnections() * MOST_OPEN), "FCGI_MPXS_CONNS", "1");
      NameValues.read(content, content.length, MOST_PAIRS).keySet().stream().filter(known::containsKey)
          .forEach(name -> answer.put(name, known.get(name)));
    } catch (BadRecord e) {
      front.count("bad record");
      close();
      return;
    }
    outbox.put(RecordWriter.values(answer));
  }

  @Override
  public void unknownType(int type) {
    outbox.put(RecordWriter.unknownType(type));
  }

  // ---- answers, on any thread

  private void ended(Exchange e, FinalAnswer end) {
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
    answer(e, RecordWriter.response(e.id, end.reason().status, fields, body));
    forget(e);
  }

  /** Answers what cannot be used; the rest of it is read on and passed over. */
  private void reject(Exchange e, Reason reason) {
    front.count("unusable: " + reason.word());
    e.gathered = NOTHING;
    answer(e, reason);
  }

  private void answer(Exchange e, Reason reason) {
    answer(e, RecordWriter.response(e.id, reason.status, Map.of("Content-Type", "text/plain"), NOTHING));
  }

  private void answer(Exchange e, byte[] bytes) {
    boolean last;
    synchronized (this) {
      if (ended || e.answered) {
        return;
      }
      e.answered = true;
      requests++;
      unanswered--;
      idleSince = Clock.micros();
      last = closesAfterAnswers && unanswered == 0;
    }
    if (!outbox.put(bytes)) {
      front.count("client does not read");
      close();
    } else if (last) {
      outbox.finish();
    }
  }

  /** A request that is over and of which nothing more can come. */
  private synchronized void forget(Exchange e) {
    open.remove(e.id, e);
  }

  // ---- its end

  /** Requests that were read in part and wait for the rest. */
  private synchronized Exchange oldestHalf() {
    Exchange oldest = null;
    for (Exchange e : open.values()) {
      if (!e.answered && e.call == null && (oldest == null || e.beganAt < oldest.beganAt)) {
        oldest = e;
      }
    }
    return oldest;
  }

  /**
   * Looks at its time limits.
   *
   * @param silent how long a connection may say nothing at first, and a request may lack its rest
   * @param idle how long it may be idle
   */
  void check(long now, long silent, long idle) {
    Exchange half = oldestHalf();
    if (half != null && now - half.beganAt > silent) {
      front.count("half a request");
      answer(half, Reason.SLOW_SENDER);
    }
    boolean asked;
    synchronized (this) {
      if (unanswered > 0) {
        return;
      }
      asked = requests > 0;
      if (now - (asked ? idleSince : connectedAt) < (asked ? idle : silent)) {
        return;
      }
    }
    front.count(asked ? "idle connection closed" : "silent connection closed");
    close();
  }

  /** Since when it has been idle; {@code Long.MAX_VALUE} where a request is open. One that never asked comes first. */
  synchronized long idleSince() {
    return unanswered > 0 ? Long.MAX_VALUE : requests == 0 ? connectedAt - SILENT_FIRST : idleSince;
  }

  void closeIfStuck(long now, long most) {
    long since = outbox.writingSince();
    if (since > 0 && now - since > most) {
      front.count("client does not read");
      close();
    }
  }

  synchronized int unanswered() {
    return unanswered;
  }

  boolean flushed() {
    return outbox.idle();
  }

  /** Tells the other side that nothing more comes; what was put before is written first. */
  void finish() {
    outbox.finish();
  }

  /** Ends the connection; clients of calls that are open have left. */
  void close() {
    List<NodeCall> left = new ArrayList<>();
    synchronized (this) {
      if (ended) {
        return;
      }
      ended = true;
      open.values().stream().filter(e -> !e.answered && e.call != null).forEach(e -> left.add(e.call));
      open.clear();
    }
    outbox.close();
    try {
      channel.close();
    } catch (IOException e) {
      // Nothing is left to release.
    }
    front.closed(this);
    left.forEach(front::gone);
  }
}
