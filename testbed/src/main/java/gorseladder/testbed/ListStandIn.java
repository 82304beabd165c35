package gorseladder.testbed;

import gorseladder.RouterApi.Phase;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.HttpServer;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.json.Json;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A stand-in for a Consul agent: the blocking health query of one service. What it knows becomes visible late, and not
 * at all while it is behind. Any thread.
 */
public final class ListStandIn implements Closeable {
  private static final int STACK = 256 << 10;

  /** One entry; {@code born} is wall time in milliseconds, 0 where long ago. */
  private record Entry(StandInRunner runner, Phase phase, long born) {}

  private final Map<String, Entry> truth = new LinkedHashMap<>();
  private final Tap tap;
  private final HttpServer server;
  private final long late;
  private List<Map<String, Object>> shown = new ArrayList<>();
  private Map<String, Phase> shownPhases = new LinkedHashMap<>();
  private final Map<Integer, Map<String, Phase>> lastTold = new LinkedHashMap<>();
  private long index = 1;
  private boolean behind;
  private boolean closed;

  /** A list whose changes show after so many microseconds. */
  public ListStandIn(Tap tap, long late) throws IOException {
    this.tap = tap;
    this.late = late;
    this.server =
        HttpServer.listen(new InetSocketAddress("127.0.0.1", 0), "list", STACK, this::serve);
  }

  /** Where it listens. */
  public String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  /** A runner's phase changes in truth; shown after the delay, at once where {@code now}. */
  public void set(StandInRunner runner, Phase phase, boolean fresh, boolean now) {
    synchronized (this) {
      if (phase == Phase.GONE) {
        truth.remove(runner.id());
      } else {
        Entry before = truth.get(runner.id());
        long born = fresh ? System.currentTimeMillis() : before == null ? 0 : before.born();
        truth.put(runner.id(), new Entry(runner, phase, born));
      }
    }
    if (now) {
      show();
    } else {
      gorseladder.runtime.Threads.start("list-late", STACK, () -> {
        try {
          Thread.sleep(late / 1000);
          show();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
    }
  }

  /** Shows nothing new until it is told otherwise; then everything at once. */
  public void setBehind(boolean stuck) {
    synchronized (this) {
      behind = stuck;
    }
    show();
  }

  private synchronized void show() {
    if (behind || closed) {
      return;
    }
    shown = new ArrayList<>();
    shownPhases = new LinkedHashMap<>();
    truth.values().forEach(e -> {
      shown.add(print(e));
      shownPhases.put(e.runner().id(), e.phase());
    });
    index++;
    notifyAll();
  }

  private static Map<String, Object> print(Entry e) {
    String id = e.runner().id();
    StandInRunner.Settings n = e.runner().settings();
    Map<String, Object> meta = new LinkedHashMap<>();
    meta.put("zone", n.zone());
    meta.put("cell", Integer.toString(n.cell()));
    meta.put("phase", e.phase() == Phase.DRAINING ? "draining" : "running");
    meta.put("weight", Double.toString(n.cores() * n.speed()));
    if (e.born() > 0) {
      meta.put("born", Long.toString(e.born()));
    }
    Map<String, Object> service = new LinkedHashMap<>();
    service.put("ID", id);
    service.put("Service", "runners");
    service.put("Address", id.substring(0, id.indexOf(':')));
    service.put("Port", Integer.parseInt(id.substring(id.indexOf(':') + 1)));
    service.put("Meta", meta);
    return Map.of("Service", service);
  }

  private void serve(SocketChannel channel) throws IOException {
    HttpConnection c = new HttpConnection(channel, HttpLimits.INTERNAL);
    try {
      while (c.awaitMessage(Clock.micros() + 60_000_000L)) {
        Head head = c.readRequest(Clock.micros() + 5_000_000L);
        c.readBody(BodyParser.forRequest(head, HttpLimits.INTERNAL), Clock.micros() + 5_000_000L);
        answer(c, head);
      }
    } catch (BadMessage | InterruptedException e) {
      c.abort();
    }
  }

  private static long query(Head head, String name, long otherwise) {
    for (String part : head.query().split("&")) {
      if (part.startsWith(name + "=")) {
        return Long.parseLong(part.substring(name.length() + 1).replace("ms", ""));
      }
    }
    return otherwise;
  }

  private void answer(HttpConnection c, Head head) throws IOException, InterruptedException {
    long since = query(head, "index", 0);
    long until = Clock.micros() + query(head, "wait", 5000) * 1000;
    byte[] body;
    long at;
    Map<String, Phase> phases;
    synchronized (this) {
      while (index <= since && !closed && Clock.micros() < until) {
        wait(Math.max(1, (until - Clock.micros()) / 1000));
      }
      body = Json.write(shown).getBytes(StandardCharsets.UTF_8);
      at = index;
      phases = shownPhases;
    }
    c.write(HeadWriter.response(200)
        .field("X-Consul-Index", at)
        .field("Content-Type", "application/json")
        .with(body));
    String agent = String.valueOf(head.get("user-agent"));
    int edge = Integer.parseInt(agent.substring(agent.indexOf('/') + 1));
    told(edge, phases, Clock.micros());
  }

  /** Notes for the checker what this edge was told now that differs from what it was told before. */
  private synchronized void told(int edge, Map<String, Phase> phases, long now) {
    Map<String, Phase> before = lastTold.getOrDefault(edge, Map.of());
    before.keySet().stream()
        .filter(r -> !phases.containsKey(r))
        .forEach(r -> tap.phaseReported(new Tap.PhaseReport(edge, r, Phase.GONE, now)));
    phases.forEach((runner, phase) -> {
      if (phase != before.get(runner)) {
        tap.phaseReported(new Tap.PhaseReport(edge, runner, phase, now));
      }
    });
    lastTold.put(edge, phases);
  }

  @Override
  public void close() {
    synchronized (this) {
      closed = true;
      notifyAll();
    }
    server.close();
  }
}
