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
 * A simulated Consul agent that answers the blocking health query for one service. Changes become visible after a
 * delay, and not at all while the list is behind. Thread-safe.
 */
public final class ListStandIn implements Closeable {
  private static final int STACK = 256 << 10;

  /** A runner of the list; {@code startedAtMillis} is wall-clock time, 0 if it started long ago. */
  private record Entry(StandInRunner runner, Phase phase, long startedAtMillis) {}

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Tap tap;
  private final HttpServer server;
  private final long delay;
  private List<Map<String, Object>> visibleEntries = new ArrayList<>();
  private Map<String, Phase> visiblePhases = new LinkedHashMap<>();
  private final Map<Integer, Map<String, Phase>> lastSent = new LinkedHashMap<>();
  private long index = 1;
  private boolean behind;
  private boolean closed;

  /** Creates a list whose changes become visible after a delay in microseconds. */
  public ListStandIn(Tap tap, long delay) throws IOException {
    this.tap = tap;
    this.delay = delay;
    this.server =
        HttpServer.listen(new InetSocketAddress("127.0.0.1", 0), "list", STACK, this::serve);
  }

  public String address() {
    return "127.0.0.1:" + server.address().getPort();
  }

  /** Changes the phase of a runner; visible after the delay, or at once if {@code immediately}. */
  public void setPhase(StandInRunner runner, Phase phase, boolean restarted, boolean immediately) {
    synchronized (this) {
      if (phase == Phase.GONE) {
        entries.remove(runner.id());
      } else {
        Entry before = entries.get(runner.id());
        long startedAtMillis =
            restarted ? System.currentTimeMillis() : before == null ? 0 : before.startedAtMillis();
        entries.put(runner.id(), new Entry(runner, phase, startedAtMillis));
      }
    }
    if (immediately) {
      publish();
    } else {
      gorseladder.runtime.Threads.start("list-late", STACK, () -> {
        try {
          Thread.sleep(delay / 1000);
          publish();
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      });
    }
  }

  /** Hides all changes while true; then shows them at once. */
  public void setBehind(boolean isBehind) {
    synchronized (this) {
      behind = isBehind;
    }
    publish();
  }

  private synchronized void publish() {
    if (behind || closed) {
      return;
    }
    visibleEntries = new ArrayList<>();
    visiblePhases = new LinkedHashMap<>();
    entries.values().forEach(e -> {
      visibleEntries.add(toConsulEntry(e));
      visiblePhases.put(e.runner().id(), e.phase());
    });
    index++;
    notifyAll();
  }

  private static Map<String, Object> toConsulEntry(Entry e) {
    String id = e.runner().id();
    StandInRunner.Settings n = e.runner().settings();
    Map<String, Object> meta = new LinkedHashMap<>();
    meta.put("zone", n.zone());
    meta.put("cell", Integer.toString(n.cell()));
    meta.put("phase", e.phase() == Phase.DRAINING ? "draining" : "running");
    meta.put("weight", Double.toString(n.cores() * n.speed()));
    if (e.startedAtMillis() > 0) {
      meta.put("born", Long.toString(e.startedAtMillis()));
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
    long sinceIndex = query(head, "index", 0);
    long waitUntil = Clock.micros() + query(head, "wait", 5000) * 1000;
    byte[] body;
    long currentIndex;
    Map<String, Phase> phases;
    synchronized (this) {
      while (index <= sinceIndex && !closed && Clock.micros() < waitUntil) {
        wait(Math.max(1, (waitUntil - Clock.micros()) / 1000));
      }
      body = Json.write(visibleEntries).getBytes(StandardCharsets.UTF_8);
      currentIndex = index;
      phases = visiblePhases;
    }
    c.write(HeadWriter.response(200)
        .field("X-Consul-Index", currentIndex)
        .field("Content-Type", "application/json")
        .with(body));
    String agent = String.valueOf(head.get("user-agent"));
    int edge = Integer.parseInt(agent.substring(agent.indexOf('/') + 1));
    recordPhases(edge, phases, Clock.micros());
  }

  /** Records for the checker the phases that differ from those that the edge was sent before. */
  private synchronized void recordPhases(int edge, Map<String, Phase> phases, long now) {
    Map<String, Phase> before = lastSent.getOrDefault(edge, Map.of());
    before.keySet().stream()
        .filter(r -> !phases.containsKey(r))
        .forEach(r -> tap.phaseReported(new Tap.PhaseReport(edge, r, Phase.GONE, now)));
    phases.forEach((runner, phase) -> {
      if (phase != before.get(runner)) {
        tap.phaseReported(new Tap.PhaseReport(edge, runner, phase, now));
      }
    });
    lastSent.put(edge, phases);
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
