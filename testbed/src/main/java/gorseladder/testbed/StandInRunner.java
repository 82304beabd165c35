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
 * A stand-in runner that speaks the Open Inference Protocol v2 over HTTP/1.1 with the model repository extension. It
 * holds copies with lanes in bounded memory, loads them from the shared archive, starts cold, falls over when pushed,
 * drops repeats of keyed calls for a while, honours cancels or not, and can be made to misbehave. Any thread.
 */
public final class StandInRunner implements Closeable {
  private static final int STACK = 256 << 10;
  private static final long SLICE_MILLIS = 5;

  /** What a runner is like; times in microseconds. */
  public record Settings(
      String zone,
      int cell,
      int cores,
      double speed,
      double memoryMb,
      int mostHeld,
      long work,
      long load,
      long keepAlive,
      boolean loadsOnMiss,
      boolean cancelling,
      long repeatWindow,
      Rules rules) {}

  /** Misbehaviour that a script turns on and off. */
  public static final class Faults {
    volatile boolean hang;
    volatile boolean errors;
    volatile boolean throttle;
    volatile boolean reset;
    volatile boolean closeReused;
    volatile boolean draining;
    volatile boolean reportsLate;
    volatile double slower = 1;
    volatile long handshake;
    /** The function whose answers announce so many bytes, and never send the last one. */
    volatile String endlessFunction;

    volatile int endlessAnswerBytes;
  }

  private static final class Copy {
    int standing;
    int loading;
    int busy;
    int held;
    double memoryMb;
    int lanes;
    long lastUsed;
  }

  /** Shared by the runners of a group: what each key answered, and until when it is remembered. */
  public static final class IdempotencyKeys {
    private record Kept(long until, byte[] result) {}

    private final Map<String, Kept> kept = new ConcurrentHashMap<>();

    private synchronized boolean begin(String key, long now, long window) {
      Kept before = kept.get(key);
      if (before != null && before.until() > now) {
        return false;
      }
      kept.put(key, new Kept(now + window, null));
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
  private int life;
  private long startedAt;
  private boolean warmFromStart;
  private boolean overloaded;
  private int running;
  private int held;
  private double windowWork;
  private long windowFrom;
  private String lastReport;

  /** Starts a runner on a free loopback port, warm; {@code log} hears a line for each infer request that began. */
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

  /** Its name in the list: address and port. */
  public String id() {
    return "127.0.0.1:" + address.getPort();
  }

  public Settings settings() {
    return settings;
  }

  public Faults faults() {
    return faults;
  }

  /** True once more was sent to it while cold than it bears. */
  public synchronized boolean isOverloaded() {
    return overloaded;
  }

  /** Dies at once: connections are reset and everything loaded is lost. */
  public void crash() {
    HttpServer dying;
    synchronized (this) {
      dying = server;
      server = null;
      life++;
      copies.clear();
      running = 0;
      held = 0;
      notifyAll();
    }
    if (dying != null) {
      dying.close();
    }
  }

  /** Starts again at the same address, cold and empty. */
  public void restart() throws IOException {
    HttpServer fresh = HttpServer.listen(address, "runner", STACK, this::serve);
    synchronized (this) {
      server = fresh;
      startedAt = Clock.micros();
      warmFromStart = false;
      windowWork = 0;
      windowFrom = startedAt;
      faults.hang = false;
      faults.draining = false;
    }
    tap.started(new Tap.Start(id(), startedAt, settings.cores() * settings.speed()));
  }

  private synchronized boolean alive(int since) {
    return life == since && server != null;
  }

  private void serve(SocketChannel channel) throws IOException {
    HttpConnection c = new HttpConnection(channel, HttpLimits.INTERNAL);
    int born;
    synchronized (this) {
      born = life;
    }
    try {
      // A connection that is slow to be served holds bytes that came meanwhile: they count from
      // its beginning.
      long openedAt = Clock.micros();
      long handshake = faults.handshake;
      Thread.sleep(handshake / 1000);
      boolean first = true;
      while (c.awaitMessage(Clock.micros() + 60_000_000L)) {
        long at = first && handshake > 0 ? openedAt : Clock.micros();
        Head head = c.readRequest(Clock.micros() + 10_000_000L);
        byte[] body = c.readBody(
            BodyParser.forRequest(head, HttpLimits.INTERNAL), Clock.micros() + 10_000_000L);
        if (!alive(born) || !answer(c, head, body, born, first, at) || !head.keepsConnection()) {
          break;
        }
        first = false;
      }
    } catch (BadMessage | InterruptedException e) {
      c.abort();
    }
  }

  private boolean answer(HttpConnection c, Head head, byte[] body, int born, boolean first, long at)
      throws IOException, InterruptedException {
    String model = Oip.modelIn(head.path(), "/v2/models/", "/infer");
    if (model != null) {
      return infer(c, head, body, model, born, first, at);
    }
    model = Oip.modelIn(head.path(), "/v2/repository/models/", "/load");
    if (model != null) {
      return order(c, head, body, model, born, at);
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
        "name", name, "state", copy.standing > 0 ? "READY" : "LOADING", "copies", copy.standing)));
    return gorseladder.wire.json.Json.write(all).getBytes(StandardCharsets.UTF_8);
  }

  private static int header(Head head, String name, int otherwise) {
    String value = head.get(name);
    return value != null && value.matches("[0-9]{1,9}") ? Integer.parseInt(value) : otherwise;
  }

  private boolean infer(
      HttpConnection c, Head head, byte[] body, String model, int born, boolean first, long at)
      throws IOException, InterruptedException {
    Oip.Content content;
    try {
      content = Oip.content(body);
    } catch (IllegalArgumentException e) {
      c.write(HeadWriter.response(400).field(Oip.EXECUTED, "no").with(new byte[0]));
      return true;
    }
    Tap.Arrival arrival = tap.arrived(
        content.id(), id(), header(head, Oip.EDGE_ORDINAL, -1), model, at, settings.work());
    try {
      pushed(arrival);
      if (faults.closeReused && !first) {
        return false;
      }
      while (faults.hang && alive(born)) {
        Thread.sleep(SLICE_MILLIS);
      }
      if (!alive(born)) {
        return false;
      }
      if (faults.errors) {
        return respond(c, arrival, 500, null, -1, new byte[0]);
      }
      if (faults.throttle && random.nextInt(10) > 0 || faults.draining || isOverloaded()) {
        return respond(c, arrival, 429, null, -1, new byte[0]);
      }
      return run(c, head, content, model, born, arrival);
    } finally {
      if (arrival.endedAt == 0) {
        arrival.endedAt = Clock.micros();
      }
    }
  }

  /** A cold runner that is sent too much in a window falls over and stays down. */
  private synchronized void pushed(Tap.Arrival arrival) {
    Rules rules = settings.rules();
    long age = arrival.at - startedAt;
    if (warmFromStart || age >= rules.rampDuration()) {
      return;
    }
    if (arrival.at - windowFrom > rules.overloadWindow()) {
      windowFrom = arrival.at;
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

  private boolean run(
      HttpConnection c, Head head, Oip.Content content, String model, int born, Tap.Arrival arrival)
      throws IOException, InterruptedException {
    String copyWord;
    int crowd;
    synchronized (this) {
      Copy copy = copies.computeIfAbsent(model, m -> new Copy());
      copy.memoryMb = header(head, Oip.MEMORY_MB, 256);
      copy.lanes = Math.max(1, header(head, Oip.LANES, 1));
      expire(model, copy);
      crowd = copy.held;
      if (held >= settings.mostHeld()) {
        return respond(c, arrival, 429, null, crowd, new byte[0]);
      }
      boolean lacks = copy.standing + copy.loading == 0;
      if (lacks && !settings.loadsOnMiss()) {
        return respond(c, arrival, 404, null, crowd, new byte[0]);
      }
      if (lacks && !makeRoom(model, copy.memoryMb)) {
        return respond(c, arrival, 429, null, crowd, new byte[0]);
      }
      copyWord = copy.busy < copy.standing * copy.lanes ? "found" : lacks ? "began" : "awaited";
      copy.loading += lacks ? 1 : 0;
      copy.held++;
      held++;
    }
    try {
      if (copyWord.equals("began") && !load(model, born)) {
        return respond(c, arrival, 404, "load-failed", crowd, new byte[0]);
      }
      if (!lane(c, model, born)) {
        return alive(born)
            && !c.peerGone()
            && respond(c, arrival, 404, "load-failed", crowd, new byte[0]);
      }
      try {
        return work(c, head, content, model, born, arrival, copyWord, crowd);
      } finally {
        release(model, born);
      }
    } finally {
      synchronized (this) {
        if (life == born) {
          copies.get(model).held--;
          held--;
        }
      }
    }
  }

  private boolean work(
      HttpConnection c,
      Head head,
      Oip.Content content,
      String model,
      int born,
      Tap.Arrival arrival,
      String copyWord,
      int crowd)
      throws IOException, InterruptedException {
    String key = head.get("idempotency-key");
    boolean fresh = key == null || keys.begin(key, Clock.micros(), settings.repeatWindow());
    if (fresh) {
      arrival.ran = true;
      Map<String, Object> line = new java.util.LinkedHashMap<>();
      String message = content.id();
      line.put("id", message.substring(message.indexOf(' ') + 1));
      line.put("runner", id());
      line.put("function", model);
      line.put("started", System.currentTimeMillis());
      log.accept(line);
      if (!labour(c, born)) {
        return false;
      }
    }
    byte[] result = ("{\"id\":\"" + content.id().replace("\"", "") + "\",\"result\":\"done\"}")
        .getBytes(StandardCharsets.UTF_8);
    byte[] message = Oip.response(content.id(), model, result);
    if (model.equals(faults.endlessFunction)) {
      answerWithoutEnd(c, born);
      return false;
    }
    if (faults.reset) {
      c.write(java.util.Arrays.copyOf(
          "HTTP/1.1 200 OK\r\nContent-Le".getBytes(StandardCharsets.US_ASCII), 20));
      c.abort();
      return false;
    }
    return respond(c, arrival, 200, copyWord, crowd, message);
  }

  /** Sends all but the last byte of a long answer, and waits until the other side has had enough. */
  private void answerWithoutEnd(HttpConnection c, int born)
      throws IOException, InterruptedException {
    c.write(HeadWriter.response(200).headFor(new byte[faults.endlessAnswerBytes]));
    c.write(new byte[faults.endlessAnswerBytes - 1]);
    while (alive(born) && !c.peerGone()) {
      Thread.sleep(SLICE_MILLIS);
    }
  }

  /** Works in slices, so that a cancel or a death ends it; true where it was done. */
  private boolean labour(HttpConnection c, int born) throws InterruptedException {
    double left;
    synchronized (this) {
      running++;
      double share = Math.max(1, (double) running / settings.cores());
      left = settings.work()
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
        left -= slice / faults.slower;
        if (!alive(born) || settings.cancelling() && c.peerGone()) {
          return false;
        }
      }
      return true;
    } finally {
      synchronized (this) {
        running -= life == born ? 1 : 0;
      }
    }
  }

  private boolean respond(
      HttpConnection c, Tap.Arrival arrival, int status, String copy, int crowd, byte[] body)
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
    if (crowd >= 0) {
      w.field(Oip.CONCURRENCY, crowd);
    }
    c.write(w.with(body));
    return true;
  }

  private synchronized String report() {
    if (!faults.reportsLate || lastReport == null) {
      lastReport = LoadReport.format(
          Math.min(1, (double) running / settings.cores()), Map.of("inFlight", (double) held));
    }
    return lastReport;
  }

  private void expire(String model, Copy copy) {
    long now = Clock.micros();
    if (copy.busy == 0 && copy.held == 0 && now - copy.lastUsed > settings.keepAlive()) {
      copy.standing = 0;
    }
    copy.lastUsed = now;
  }

  /** Unloads idle copies of other functions, least lately used first, until there is room. */
  private boolean makeRoom(String model, double memoryMb) {
    double used = copies.values().stream()
        .mapToDouble(k -> (k.standing + k.loading) * k.memoryMb)
        .sum();
    while (used + memoryMb > settings.memoryMb()) {
      var victim = copies.entrySet().stream()
          .filter(
              e -> !e.getKey().equals(model) && e.getValue().standing > 0 && e.getValue().held == 0)
          .min(Comparator.comparingLong(e -> e.getValue().lastUsed))
          .orElse(null);
      if (victim == null) {
        return false;
      }
      used -= victim.getValue().standing * victim.getValue().memoryMb;
      victim.getValue().standing = 0;
    }
    return true;
  }

  /** Loads a copy whose place was taken by {@code loading}. */
  private boolean load(String model, int born) throws InterruptedException {
    boolean fetched = archive.fetch(settings.load() * 2 / 3);
    Thread.sleep(settings.load() / 3000);
    synchronized (this) {
      if (life != born) {
        return false;
      }
      Copy copy = copies.get(model);
      copy.loading--;
      copy.standing += fetched ? 1 : 0;
      copy.lastUsed = Clock.micros();
      notifyAll();
    }
    return fetched;
  }

  /** Waits for a free lane; false where none can come any more or the caller left. */
  private boolean lane(HttpConnection c, String model, int born) throws InterruptedException {
    synchronized (this) {
      while (life == born) {
        Copy copy = copies.get(model);
        if (copy.busy < copy.standing * copy.lanes) {
          copy.busy++;
          return true;
        }
        if (copy.standing + copy.loading == 0 || settings.cancelling() && c.peerGone()) {
          return false;
        }
        wait(20);
      }
    }
    return false;
  }

  private synchronized void release(String model, int born) {
    if (life == born) {
      copies.get(model).busy--;
      copies.get(model).lastUsed = Clock.micros();
      notifyAll();
    }
  }

  private boolean order(HttpConnection c, Head head, byte[] body, String model, int born, long at)
      throws IOException, InterruptedException {
    int wanted = Oip.copiesIn(body);
    tap.ordered(new Tap.Order(id(), header(head, Oip.EDGE_ORDINAL, -1), model, wanted, at));
    boolean loads;
    synchronized (this) {
      Copy copy = copies.computeIfAbsent(model, m -> new Copy());
      copy.memoryMb = header(head, Oip.MEMORY_MB, 256);
      copy.lanes = Math.max(copy.lanes, 1);
      expire(model, copy);
      boolean lacks = copy.standing + copy.loading < wanted;
      if (faults.draining || overloaded || lacks && !makeRoom(model, copy.memoryMb)) {
        c.write(HeadWriter.response(503).field(Oip.EXECUTED, "no").with(new byte[0]));
        return true;
      }
      loads = lacks;
      copy.loading += lacks ? 1 : 0;
    }
    boolean loaded = !loads || load(model, born);
    synchronized (this) {
      while (life == born && copies.get(model).loading > 0 && copies.get(model).standing < wanted) {
        wait(20);
      }
    }
    if (!alive(born)) {
      return false;
    }
    int standing;
    synchronized (this) {
      standing = copies.get(model).standing;
    }
    c.write(
        loaded
            ? HeadWriter.response(200).with(Oip.loadRequest(standing))
            : HeadWriter.response(500).with(new byte[0]));
    return true;
  }

  private synchronized void unload(String model) {
    Copy copy = copies.get(model);
    if (copy != null && copy.held == 0) {
      copy.standing = 0;
    }
  }

  @Override
  public void close() {
    crash();
  }
}
