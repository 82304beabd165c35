package gorseladder.testbed;

import gorseladder.RouterApi.Rules;
import gorseladder.runtime.Clock;
import gorseladder.runtime.HttpConnection;
import gorseladder.runtime.HttpServer;
import gorseladder.wire.http1.BadMessage;
import gorseladder.wire.http1.BodyParser;
import gorseladder.wire.http1.Head;
import gorseladder.wire.http1.HeadWriter;
import gorseladder.wire.http1.HttpLimits;
import gorseladder.wire.oip.LoadReport;
import gorseladder.wire.oip.Oip;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

/**
 * A simulated runner that speaks the Open Inference Protocol v2 over HTTP/1.1 with the model repository extension. It
 * keeps copies with lanes in limited memory, loads them from the shared archive, starts cold, collapses if it is sent
 * too much while cold, ignores repeats of keyed calls for a while and can inject faults. Thread-safe.
 */
public final class StandInRunner implements Closeable {
  private static final int STACK = 256 << 10;
  private static final long SLICE_MILLIS = 5;

  /**
   * Settings of a runner; times in microseconds.
   *
   * @param cores calls that run at full speed at the same time
   * @param maxHeldCalls calls that it accepts at the same time, waiting ones included
   * @param stopsCancelledWork true to stop the work of a call when its connection is closed
   */
  public record Settings(
      String zone,
      int cell,
      int cores,
      double speed,
      double memoryMb,
      int maxHeldCalls,
      long workTime,
      long loadTime,
      long keepAlive,
      boolean loadsOnMiss,
      boolean stopsCancelledWork,
      long repeatWindow,
      Rules rules) {}

  /** Faults that a script turns on and off. */
  public static final class Faults {
    volatile boolean hang;
    volatile boolean errors;
    volatile boolean throttle;
    volatile boolean reset;
    volatile boolean closeReused;
    volatile boolean draining;
    volatile boolean freezesReport;
    volatile double slowdown = 1;
    volatile long handshakeDelay;
    /** The function whose answers announce {@link #endlessAnswerBytes} and omit the last byte. */
    volatile String endlessFunction;

    volatile int endlessAnswerBytes;
  }

  private static final class Copy {
    int loaded;
    int loading;
    int busyLanes;
    int heldCalls;
    double memoryMb;
    int lanes;
    long lastUsed;
  }

  /** The idempotency keys that were used, each with its expiry; shared by the runners of a group. */
  public static final class IdempotencyKeys {
    private record KeyEntry(long expiresAt, byte[] result) {}

    private final Map<String, KeyEntry> entries = new ConcurrentHashMap<>();

    private synchronized boolean tryStart(String key, long now, long window) {
      KeyEntry before = entries.get(key);
      if (before != null && before.expiresAt() > now) {
        return false;
      }
      entries.put(key, new KeyEntry(now + window, null));
      return true;
    }
  }

  private final Settings settings;
  private final Archive archive;
  private final IdempotencyKeys keys;
  private final Tap tap;
  private final Consumer<Map<String, Object>> log;
  private final Random random;
  private final Map<String, Copy> copies = new HashMap<>();
  private final Faults faults = new Faults();
  private final InetSocketAddress address;
  private HttpServer server;
  private int incarnation;
  private long startedAt;
  private boolean warmFromStart;
  private boolean overloaded;
  private int runningCalls;
  private int heldCalls;
  private double windowWork;
  private long windowStart;
  private String lastReport;

  /**
   * Starts a warm runner on a free loopback port; {@code log} receives an entry for each inference request that
   * starts.
   */
  public StandInRunner(
      Settings settings,
      Archive archive,
      IdempotencyKeys keys,
      Tap tap,
      long seed,
      Consumer<Map<String, Object>> log)
      throws IOException {
    this.settings = settings;
    this.archive = archive;
    this.keys = keys;
    this.tap = tap;
    this.log = log;
    this.random = new Random(seed);
    this.warmFromStart = true;
    this.server = HttpServer.listen(Ports.free(), "runner", STACK, this::serve);
    this.address = server.address();
    this.startedAt = Clock.micros();
  }

  /** Returns the name of the runner in the worker list: its address and port. */
  public String id() {
    return "127.0.0.1:" + address.getPort();
  }

  public Settings settings() {
    return settings;
  }

  public Faults faults() {
    return faults;
  }

  /** Returns true once the runner has collapsed because it was sent too much work while cold. */
  public synchronized boolean isOverloaded() {
    return overloaded;
  }

  /** Crashes the runner: its connections are reset and its copies are lost. */
  public void crash() {
    HttpServer oldServer;
    synchronized (this) {
      oldServer = server;
      server = null;
      incarnation++;
      copies.clear();
      runningCalls = 0;
      heldCalls = 0;
      notifyAll();
    }
    if (oldServer != null) {
      oldServer.close();
    }
  }

  /** Restarts the runner at the same address, cold and without copies. */
  public void restart() throws IOException {
    HttpServer newServer = HttpServer.listen(address, "runner", STACK, this::serve);
    synchronized (this) {
      server = newServer;
      startedAt = Clock.micros();
      warmFromStart = false;
      windowWork = 0;
      windowStart = startedAt;
      faults.hang = false;
      faults.draining = false;
    }
    tap.started(new Tap.Start(id(), startedAt, settings.cores() * settings.speed()));
  }

  private synchronized boolean alive(int expectedIncarnation) {
    return incarnation == expectedIncarnation && server != null;
  }

  private void serve(SocketChannel channel) throws IOException {
    HttpConnection c = new HttpConnection(channel, HttpLimits.INTERNAL);
    int expectedIncarnation;
    synchronized (this) {
      expectedIncarnation = incarnation;
    }
    try {
      // After a slow handshake the first request may have waited unread, so it counts as arrived
      // when the connection was opened.
      long openedAt = Clock.micros();
      long handshakeDelay = faults.handshakeDelay;
      Thread.sleep(handshakeDelay / 1000);
      boolean first = true;
      while (c.awaitMessage(Clock.micros() + 60_000_000L)) {
        long at = first && handshakeDelay > 0 ? openedAt : Clock.micros();
        Head head = c.readRequest(Clock.micros() + 10_000_000L);
        byte[] body = c.readBody(
            BodyParser.forRequest(head, HttpLimits.INTERNAL), Clock.micros() + 10_000_000L);
        if (!alive(expectedIncarnation)
            || !handleRequest(c, head, body, expectedIncarnation, first, at)
            || !head.keepsConnection()) {
          break;
        }
        first = false;
      }
    } catch (BadMessage | InterruptedException e) {
      c.abort();
    }
  }

  private boolean handleRequest(
      HttpConnection c, Head head, byte[] body, int expectedIncarnation, boolean first, long at)
      throws IOException, InterruptedException {
    String model = Oip.modelIn(head.path(), "/v2/models/", "/infer");
    if (model != null) {
      return infer(c, head, body, model, expectedIncarnation, first, at);
    }
    model = Oip.modelIn(head.path(), "/v2/repository/models/", "/load");
    if (model != null) {
      return handleLoadOrder(c, head, body, model, expectedIncarnation, at);
    }
    model = Oip.modelIn(head.path(), "/v2/repository/models/", "/unload");
    if (model != null) {
      unload(model);
      c.write(HeadWriter.response(200).with(new byte[0]));
      return true;
    }
    if (head.path().equals("/v2/health/ready")) {
      c.write(HeadWriter.response(200).with(new byte[0]));
      return true;
    }
    if (head.path().equals("/v2/repository/index")) {
      c.write(HeadWriter.response(200).with(index()));
      return true;
    }
    c.write(HeadWriter.response(404).with(new byte[0]));
    return true;
  }

  private synchronized byte[] index() {
    java.util.List<Object> all = new java.util.ArrayList<>();
    copies.forEach((name, copy) -> all.add(Map.of(
        "name", name, "state", copy.loaded > 0 ? "READY" : "LOADING", "copies", copy.loaded)));
    return gorseladder.wire.json.Json.write(all).getBytes(StandardCharsets.UTF_8);
  }

  private static int header(Head head, String name, int otherwise) {
    String value = head.get(name);
    return value != null && value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : otherwise;
  }

  private boolean infer(
      HttpConnection c,
      Head head,
      byte[] body,
      String model,
      int expectedIncarnation,
      boolean first,
      long at)
      throws IOException, InterruptedException {
    Oip.Content content;
    try {
      content = Oip.content(body);
    } catch (IllegalArgumentException e) {
      c.write(HeadWriter.response(400).field(Oip.EXECUTED, "no").with(new byte[0]));
      return true;
    }
    Tap.Arrival arrival = tap.arrived(
        content.id(), id(), header(head, Oip.EDGE_ORDINAL, -1), model, at, settings.workTime());
    try {
      countColdWork(arrival);
      if (faults.closeReused && !first) {
        return false;
      }
      while (faults.hang && alive(expectedIncarnation)) {
        Thread.sleep(SLICE_MILLIS);
      }
      if (!alive(expectedIncarnation)) {
        return false;
      }
      if (faults.errors) {
        return respond(c, arrival, 500, null, -1, new byte[0]);
      }
      if (faults.throttle && random.nextInt(10) > 0 || faults.draining || isOverloaded()) {
        return respond(c, arrival, 429, null, -1, new byte[0]);
      }
      return handleCall(c, head, content, model, expectedIncarnation, arrival);
    } finally {
      if (arrival.endedAt == 0) {
        arrival.endedAt = Clock.micros();
      }
    }
  }

  /** Counts work that a cold runner is sent within a window; too much makes it collapse for good. */
  private synchronized void countColdWork(Tap.Arrival arrival) {
    Rules rules = settings.rules();
    long age = arrival.at - startedAt;
    if (warmFromStart || age >= rules.rampDuration()) {
      return;
    }
    if (arrival.at - windowStart > rules.overloadWindow()) {
      windowStart = arrival.at;
      windowWork = 0;
    }
    windowWork += arrival.work;
    overloaded |= windowWork
        > rules.overloadMultiple()
                * settings.cores()
                * settings.speed()
                * warmth(age)
                * rules.overloadWindow()
            + 2 * arrival.work;
  }

  private double warmth(long age) {
    Rules rules = settings.rules();
    return warmFromStart || age >= rules.rampDuration()
        ? 1
        : rules.initialCapacity() + (1 - rules.initialCapacity()) * age / rules.rampDuration();
  }

  private boolean handleCall(
      HttpConnection c,
      Head head,
      Oip.Content content,
      String model,
      int expectedIncarnation,
      Tap.Arrival arrival)
      throws IOException, InterruptedException {
    String copyStatus;
    int concurrency;
    synchronized (this) {
      Copy copy = copies.computeIfAbsent(model, m -> new Copy());
      copy.memoryMb = header(head, Oip.MEMORY_MB, 256);
      copy.lanes = Math.max(1, header(head, Oip.LANES, 1));
      dropExpiredCopies(model, copy);
      concurrency = copy.heldCalls;
      if (heldCalls >= settings.maxHeldCalls()) {
        return respond(c, arrival, 429, null, concurrency, new byte[0]);
      }
      boolean missing = copy.loaded + copy.loading == 0;
      if (missing && !settings.loadsOnMiss()) {
        return respond(c, arrival, 404, null, concurrency, new byte[0]);
      }
      if (missing && !makeRoom(model, copy.memoryMb)) {
        return respond(c, arrival, 429, null, concurrency, new byte[0]);
      }
      copyStatus =
          copy.busyLanes < copy.loaded * copy.lanes ? "found" : missing ? "began" : "awaited";
      copy.loading += missing ? 1 : 0;
      copy.heldCalls++;
      heldCalls++;
    }
    try {
      if (copyStatus.equals("began") && !load(model, expectedIncarnation)) {
        return respond(c, arrival, 404, "load-failed", concurrency, new byte[0]);
      }
      if (!awaitLane(c, model, expectedIncarnation)) {
        return alive(expectedIncarnation)
            && !c.peerGone()
            && respond(c, arrival, 404, "load-failed", concurrency, new byte[0]);
      }
      try {
        return executeCall(
            c, head, content, model, expectedIncarnation, arrival, copyStatus, concurrency);
      } finally {
        releaseLane(model, expectedIncarnation);
      }
    } finally {
      synchronized (this) {
        if (incarnation == expectedIncarnation) {
          copies.get(model).heldCalls--;
          heldCalls--;
        }
      }
    }
  }

  private boolean executeCall(
      HttpConnection c,
      Head head,
      Oip.Content content,
      String model,
      int expectedIncarnation,
      Tap.Arrival arrival,
      String copyStatus,
      int concurrency)
      throws IOException, InterruptedException {
    String key = head.get("idempotency-key");
    boolean firstUse = key == null || keys.tryStart(key, Clock.micros(), settings.repeatWindow());
    if (firstUse) {
      arrival.ran = true;
      Map<String, Object> line = new java.util.LinkedHashMap<>();
      String message = content.id();
      line.put("id", message.substring(message.indexOf(' ') + 1));
      line.put("runner", id());
      line.put("function", model);
      line.put("started", System.currentTimeMillis());
      log.accept(line);
      if (!doWork(c, expectedIncarnation)) {
        return false;
      }
    }
    byte[] result = ("{\"id\":\"" + content.id().replace("\"", "") + "\",\"result\":\"done\"}")
        .getBytes(StandardCharsets.UTF_8);
    byte[] message = Oip.response(content.id(), model, result);
    if (model.equals(faults.endlessFunction)) {
      answerWithoutEnd(c, expectedIncarnation);
      return false;
    }
    if (faults.reset) {
      c.write(java.util.Arrays.copyOf(
          "HTTP/1.1 200 OK\r\nContent-Le".getBytes(StandardCharsets.US_ASCII), 20));
      c.abort();
      return false;
    }
    return respond(c, arrival, 200, copyStatus, concurrency, message);
  }

  /** Sends an answer without its last byte and waits until the client closes the connection. */
  private void answerWithoutEnd(HttpConnection c, int expectedIncarnation)
      throws IOException, InterruptedException {
    c.write(HeadWriter.response(200).headFor(new byte[faults.endlessAnswerBytes]));
    c.write(new byte[faults.endlessAnswerBytes - 1]);
    while (alive(expectedIncarnation) && !c.peerGone()) {
      Thread.sleep(SLICE_MILLIS);
    }
  }

  /**
   * Does the work of a call in slices, so that a cancellation or a crash interrupts it; returns true if it was
   * completed.
   */
  private boolean doWork(HttpConnection c, int expectedIncarnation) throws InterruptedException {
    double left;
    synchronized (this) {
      runningCalls++;
      double share = Math.max(1, (double) runningCalls / settings.cores());
      left = settings.workTime()
          / 1000.0
          * (0.6 + 0.8 * random.nextDouble())
          * share
          / settings.speed()
          / warmth(Clock.micros() - startedAt);
    }
    try {
      while (left > 0) {
        long slice = (long) Math.max(1, Math.min(SLICE_MILLIS, left));
        Thread.sleep(slice);
        left -= slice / faults.slowdown;
        if (!alive(expectedIncarnation) || settings.stopsCancelledWork() && c.peerGone()) {
          return false;
        }
      }
      return true;
    } finally {
      synchronized (this) {
        runningCalls -= incarnation == expectedIncarnation ? 1 : 0;
      }
    }
  }

  private boolean respond(
      HttpConnection c, Tap.Arrival arrival, int status, String copy, int concurrency, byte[] body)
      throws IOException {
    boolean neverRan = status == 429 || status == 404;
    arrival.saidNeverRan = neverRan;
    arrival.endedAt = Clock.micros();
    HeadWriter w = HeadWriter.response(status)
        .field("Content-Type", "application/json")
        .field(LoadReport.HEADER, report());
    if (neverRan) {
      w.field(Oip.EXECUTED, "no");
    }
    if (copy != null) {
      w.field(Oip.COPY_STATUS, copy);
    }
    if (concurrency >= 0) {
      w.field(Oip.CONCURRENCY, concurrency);
    }
    c.write(w.with(body));
    return true;
  }

  private synchronized String report() {
    if (!faults.freezesReport || lastReport == null) {
      lastReport = LoadReport.format(
          Math.min(1, (double) runningCalls / settings.cores()),
          Map.of("inFlight", (double) heldCalls));
    }
    return lastReport;
  }

  private void dropExpiredCopies(String model, Copy copy) {
    long now = Clock.micros();
    if (copy.busyLanes == 0 && copy.heldCalls == 0 && now - copy.lastUsed > settings.keepAlive()) {
      copy.loaded = 0;
    }
    copy.lastUsed = now;
  }

  /** Unloads idle copies of other functions, least recently used first, until there is room. */
  private boolean makeRoom(String model, double memoryMb) {
    double used = copies.values().stream()
        .mapToDouble(c -> (c.loaded + c.loading) * c.memoryMb)
        .sum();
    while (used + memoryMb > settings.memoryMb()) {
      var victim = copies.entrySet().stream()
          .filter(e ->
              !e.getKey().equals(model) && e.getValue().loaded > 0 && e.getValue().heldCalls == 0)
          .min(Comparator.comparingLong(e -> e.getValue().lastUsed))
          .orElse(null);
      if (victim == null) {
        return false;
      }
      used -= victim.getValue().loaded * victim.getValue().memoryMb;
      victim.getValue().loaded = 0;
    }
    return true;
  }

  /** Loads a copy that {@code loading} already counts; returns false if it failed. */
  private boolean load(String model, int expectedIncarnation) throws InterruptedException {
    boolean fetched = archive.fetch(settings.loadTime() * 2 / 3);
    Thread.sleep(settings.loadTime() / 3000);
    synchronized (this) {
      if (incarnation != expectedIncarnation) {
        return false;
      }
      Copy copy = copies.get(model);
      copy.loading--;
      copy.loaded += fetched ? 1 : 0;
      copy.lastUsed = Clock.micros();
      notifyAll();
    }
    return fetched;
  }

  /** Waits for a free lane; returns false if none can become free or the caller closed the connection. */
  private boolean awaitLane(HttpConnection c, String model, int expectedIncarnation)
      throws InterruptedException {
    synchronized (this) {
      while (incarnation == expectedIncarnation) {
        Copy copy = copies.get(model);
        if (copy.busyLanes < copy.loaded * copy.lanes) {
          copy.busyLanes++;
          return true;
        }
        if (copy.loaded + copy.loading == 0 || settings.stopsCancelledWork() && c.peerGone()) {
          return false;
        }
        wait(20);
      }
    }
    return false;
  }

  private synchronized void releaseLane(String model, int expectedIncarnation) {
    if (incarnation == expectedIncarnation) {
      copies.get(model).busyLanes--;
      copies.get(model).lastUsed = Clock.micros();
      notifyAll();
    }
  }

  private boolean handleLoadOrder(
      HttpConnection c, Head head, byte[] body, String model, int expectedIncarnation, long at)
      throws IOException, InterruptedException {
    int wantedCopies = Oip.copiesIn(body);
    tap.ordered(new Tap.Order(id(), header(head, Oip.EDGE_ORDINAL, -1), model, wantedCopies, at));
    boolean loads;
    synchronized (this) {
      Copy copy = copies.computeIfAbsent(model, m -> new Copy());
      copy.memoryMb = header(head, Oip.MEMORY_MB, 256);
      copy.lanes = Math.max(copy.lanes, 1);
      dropExpiredCopies(model, copy);
      boolean missing = copy.loaded + copy.loading < wantedCopies;
      if (faults.draining || overloaded || missing && !makeRoom(model, copy.memoryMb)) {
        c.write(HeadWriter.response(503).field(Oip.EXECUTED, "no").with(new byte[0]));
        return true;
      }
      loads = missing;
      copy.loading += missing ? 1 : 0;
    }
    boolean loadSucceeded = !loads || load(model, expectedIncarnation);
    synchronized (this) {
      while (incarnation == expectedIncarnation
          && copies.get(model).loading > 0
          && copies.get(model).loaded < wantedCopies) {
        wait(20);
      }
    }
    if (!alive(expectedIncarnation)) {
      return false;
    }
    int loaded;
    synchronized (this) {
      loaded = copies.get(model).loaded;
    }
    c.write(
        loadSucceeded
            ? HeadWriter.response(200).with(Oip.loadRequest(loaded))
            : HeadWriter.response(500).with(new byte[0]));
    return true;
  }

  private synchronized void unload(String model) {
    Copy copy = copies.get(model);
    if (copy != null && copy.heldCalls == 0) {
      copy.loaded = 0;
    }
  }

  @Override
  public void close() {
    crash();
  }
}
