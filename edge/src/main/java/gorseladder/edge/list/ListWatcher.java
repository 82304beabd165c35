package gorseladder.edge.list;

import gorseladder.RouterApi.ListKind;
import gorseladder.RouterApi.Phase;
import gorseladder.RouterApi.WorkerEntry;
import gorseladder.RouterApi.WorkerListUpdate;
import gorseladder.config.Address;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.Threads;
import gorseladder.starts.AddressOwners;
import gorseladder.starts.StartTimes;
import gorseladder.starts.StartTimes.ClockReading;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.json.Json;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows the worker list with Consul's blocking health query ({@code /v1/health/service/NAME?index=N&wait=T}, Consul
 * HTTP API, "Blocking Queries") and saves the last list on disk for a cold start. A service instance has the meta data
 * {@code zone}, {@code cell}, {@code phase} ({@code running} or {@code draining}), {@code weight} and {@code born}
 * (milliseconds since 1970, absent if long ago). A worker that is not in the list is gone.
 *
 * <p>If the list cannot be reached or read, the previous list stays in force. The watcher has one thread.
 */
public final class ListWatcher implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(ListWatcher.class);
  private static final long CONNECT_MILLIS = 1_000;
  private static final int MIN_PAUSE_MILLIS = 50;
  private static final int MAX_PAUSE_MILLIS = 2_000;

  /** Receives the contents of the list. */
  public interface Listener {
    /**
     * Called for each worker before {@link #listReceived}.
     *
     * @param startedAt when the worker started, 0 for long ago
     * @param receivedAt when the bytes of the list had arrived
     */
    void workerReported(String worker, Phase phase, long startedAt, long receivedAt);

    /** Called with the whole list. */
    void listReceived(WorkerListUpdate update);
  }

  private final InetSocketAddress address;
  private final String service;
  private final String userAgent;
  private final long waitMillis;
  private final Path savedList;
  private final Listener listener;
  private final Map<String, InetSocketAddress> addresses = new ConcurrentHashMap<>();
  private final StartTimes startTimes = new StartTimes();
  /** When the list was last read completely. */
  private long listedAt = StartTimes.ALWAYS_LISTED;

  private final Random random = new Random();
  private final int stackBytes;
  private volatile HttpConnection connection;
  private volatile boolean stopped;
  private String index = "0";
  private Thread thread;

  /** Creates a watcher; {@link #start()} starts it. */
  public ListWatcher(
      InetSocketAddress address,
      String service,
      String userAgent,
      long waitMillis,
      Path savedList,
      int stackBytes,
      Listener listener) {
    this.address = address;
    this.service = service;
    this.userAgent = userAgent;
    this.waitMillis = waitMillis;
    this.savedList = savedList;
    this.stackBytes = stackBytes;
    this.listener = listener;
  }

  /** Returns the socket address of a worker of the current list, or null. */
  public InetSocketAddress address(String worker) {
    return addresses.get(worker);
  }

  /** Passes on the saved list, empty if there is none, and starts to follow the list. */
  public void start() {
    List<WorkerEntry> entries = new ArrayList<>();
    try {
      if (Files.exists(savedList)) {
        entries = entries(Json.read(Files.readAllBytes(savedList)));
      }
    } catch (IOException | IllegalArgumentException e) {
      LOG.warn(
          "the saved worker list {} cannot be read and is passed over: {}",
          savedList,
          e.getMessage());
    }
    publish(ListKind.SAVED, entries, Clock.micros());
    thread = Threads.start("list", stackBytes, this::follow);
  }

  private void follow() {
    int pause = MIN_PAUSE_MILLIS;
    while (!stopped) {
      try (HttpConnection c = HttpConnection.open(address, CONNECT_MILLIS, HttpLimits.INTERNAL)) {
        connection = c;
        while (!stopped && query(c)) {
          pause = MIN_PAUSE_MILLIS;
        }
      } catch (IOException | BadMessage | RuntimeException | Error e) {
        // Every error is retried, since nothing would restart this thread.
        if (!stopped) {
          LOG.warn(
              "worker list at {}: {}; the old list stays", Address.print(address), e.toString());
        }
      }
      pause = pause(pause);
    }
  }

  /** Waits between tries, longer each time and with random jitter, so that edges do not retry together. */
  private int pause(int millis) {
    try {
      Thread.sleep(stopped ? 0 : millis / 2 + random.nextInt(millis));
    } catch (InterruptedException e) {
      stopped = true;
    }
    return Math.min(MAX_PAUSE_MILLIS, millis * 2);
  }

  private boolean query(HttpConnection c) throws IOException, BadMessage {
    c.write(HeadWriter.request(
            "GET",
            "/v1/health/service/" + service + "?index=" + index + "&wait=" + waitMillis + "ms",
            Address.print(address))
        .field("User-Agent", userAgent)
        .with(new byte[0]));
    // Consul adds up to a sixteenth of the wait; a stalled connection is detected soon after that.
    long deadline = Clock.micros() + (waitMillis + waitMillis / 16 + 2_000) * 1000;
    Head head = c.readResponse(deadline);
    byte[] body = c.readBody(BodyParser.forResponse(head, HttpLimits.INTERNAL), deadline);
    long receivedAt = Clock.micros();
    if (head.status() != 200) {
      throw new IOException("status " + head.status());
    }
    String next = head.get("x-consul-index");
    if (next == null || !next.matches("[0-9]{1,18}")) {
      throw new IOException("no X-Consul-Index");
    }
    boolean changed = !next.equals(index);
    // An index that goes backward or is 0 means that the server lost its state: query again without
    // an index.
    index = Long.parseLong(next) < Long.parseLong(index) || next.equals("0") ? "0" : next;
    if (changed) {
      List<WorkerEntry> entries = entries(Json.read(body));
      publish(ListKind.FULL, entries, receivedAt);
      save(body);
    }
    listedAt = receivedAt;
    return head.keepsConnection();
  }

  private void publish(ListKind kind, List<WorkerEntry> entries, long receivedAt) {
    Map<String, Phase> phases = new HashMap<>();
    addresses.keySet().forEach(w -> phases.put(w, Phase.GONE));
    entries.forEach(e -> phases.put(e.worker(), e.phase()));
    entries.forEach(e -> addresses.computeIfAbsent(e.worker(), Address::parse));
    Map<String, Long> startedAtByWorker = new HashMap<>();
    entries.forEach(e -> startedAtByWorker.put(e.worker(), e.startedAt()));
    phases.forEach((worker, phase) -> listener.workerReported(
        worker, phase, startedAtByWorker.getOrDefault(worker, 0L), receivedAt));
    listener.listReceived(new WorkerListUpdate(kind, entries));
    addresses.keySet().removeIf(w -> phases.get(w) == Phase.GONE);
    startTimes.forget(w -> phases.get(w) == Phase.GONE);
  }

  private void save(byte[] body) {
    Path temporary = savedList.resolveSibling(savedList.getFileName() + ".new");
    try {
      Files.write(temporary, body);
      Files.move(
          temporary,
          savedList,
          StandardCopyOption.ATOMIC_MOVE,
          StandardCopyOption.REPLACE_EXISTING);
    } catch (IOException e) {
      LOG.warn("the worker list cannot be saved: {}", e.toString());
    }
  }

  private List<WorkerEntry> entries(Object json) {
    if (!(json instanceof List<?> list)) {
      throw new IllegalArgumentException("the worker list is not an array");
    }
    Map<String, Object> items = new LinkedHashMap<>();
    for (Object item : list) {
      try {
        // Several instances with one address are one process, the one that started last.
        items.merge(
            id(item),
            item,
            (one, other) -> AddressOwners.replaces(born(one), born(other)) ? one : other);
      } catch (IllegalArgumentException e) {
        LOG.warn("an entry of the worker list is passed over: {}", e.getMessage());
      }
    }
    List<WorkerEntry> entries = new ArrayList<>();
    items.forEach((id, item) -> {
      try {
        entries.add(entry(id, item));
      } catch (IllegalArgumentException e) {
        LOG.warn("an entry of the worker list is passed over: {}", e.getMessage());
      }
    });
    return entries;
  }

  /** The address of a service instance, which names its worker. */
  private static String id(Object item) {
    Object service = Json.at(item, "Service");
    String host = String.valueOf(Json.at(service, "Address"));
    Object port = Json.at(service, "Port");
    if (!(port instanceof Double number)) {
      throw new IllegalArgumentException("no port at " + host);
    }
    return Address.print(
        Address.parse((host.contains(":") ? "[" + host + "]" : host) + ":" + number.intValue()));
  }

  /** When a service instance started, in milliseconds since 1970; 0 for long ago. */
  private static long born(Object item) {
    return (long) number(Json.at(Json.at(item, "Service"), "Meta", "born"), 0);
  }

  private WorkerEntry entry(String id, Object item) {
    Object service = Json.at(item, "Service");
    boolean draining = "draining".equals(Json.at(service, "Meta", "phase"));
    return new WorkerEntry(
        id,
        text(Json.at(service, "Meta", "zone")),
        (int) number(Json.at(service, "Meta", "cell"), 0),
        draining ? Phase.DRAINING : Phase.RUNNING,
        number(Json.at(service, "Meta", "weight"), 1),
        startTimes.startedAt(
            id, born(item), new ClockReading(Clock.micros(), Clock.wallMicros()), listedAt));
  }

  private static String text(Object value) {
    return value instanceof String s ? s : "";
  }

  private static double number(Object value, double fallback) {
    try {
      return value instanceof String s
          ? Double.parseDouble(s)
          : value instanceof Double d ? d : fallback;
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("not a number: " + value);
    }
  }

  @Override
  public void close() {
    stopped = true;
    HttpConnection open = connection;
    if (open != null) {
      open.close();
    }
    if (thread != null) {
      thread.interrupt();
    }
  }
}
