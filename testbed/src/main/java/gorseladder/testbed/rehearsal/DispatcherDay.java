package gorseladder.testbed.rehearsal;

import gorseladder.testbed.platform.FastCgiClient;
import gorseladder.testbed.platform.PlatformChangeLog;
import gorseladder.testbed.platform.PlatformRunner;
import gorseladder.testbed.platform.PlatformRunner.Arrival;
import gorseladder.testbed.platform.PlatformRunner.Reaction;
import gorseladder.testbed.process.ChildProcess;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * A short day of one dispatcher between stand-ins, a scene for each kind of thing that can happen to it: calls served,
 * refused and failed, second attempts, clients that leave, requests that cannot be used, the other dispatcher, changes
 * of the list, a pause of the process, a new configuration, a stop with a call held. About eight seconds; what is
 * expected of the dispatcher is an answer to every call and an end in order.
 *
 * <p>For one thread. The dispatcher is a process of its own, whose {@link #environment} names this day's addresses.
 */
public final class DispatcherDay implements AutoCloseable {
  /** The most that anything expected may take; a busy machine is no trouble. */
  private static final long PATIENCE = 20_000;
  /** The exit code of a dispatcher that was stopped in order. */
  private static final int STOPPED = 0;

  private static final int CALLS = 60;
  private static final int FUNCTIONS = 5;
  private static final List<String> CLASSES = List.of("safe", "unsafe", "keyed", "celled");

  private final Path directory;
  private final Map<String, Reaction> atFirst = new ConcurrentHashMap<>();
  private final Map<String, Reaction> always = new ConcurrentHashMap<>();
  private final Set<String> late = ConcurrentHashMap.newKeySet();
  private final List<String> events = new ArrayList<>();
  private final List<PlatformRunner> runners = new ArrayList<>();
  private final List<FastCgiClient> clients = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private final DatagramSocket other;
  private final InetSocketAddress listen;
  private final int peerPort;
  private PlatformChangeLog log;
  private int lastId;

  /**
   * Sets the stand-ins up; the dispatcher may be started after that.
   *
   * @param directory an empty one, for the configuration file
   * @throws IOException where loopback has no port
   */
  public DispatcherDay(Path directory) throws IOException {
    this.directory = directory;
    InetAddress loopback = InetAddress.getLoopbackAddress();
    other = new DatagramSocket(0, loopback);
    try (ServerSocket free = new ServerSocket(0, 1, loopback);
        DatagramSocket freePeer = new DatagramSocket(0, loopback)) {
      listen = (InetSocketAddress) free.getLocalSocketAddress();
      peerPort = freePeer.getLocalPort();
    }
    for (String uid : List.of("r1", "r2", "r3")) {
      runners.add(new PlatformRunner(this::react));
      listed(uid, runners.get(runners.size() - 1).address(), "active");
    }
    // Nobody listens there.
    try (ServerSocket closed = new ServerSocket(0, 1, loopback)) {
      listed("closed", (InetSocketAddress) closed.getLocalSocketAddress(), "active");
    }
    log = new PlatformChangeLog(events);
    configure(DayConfig.text(log.address().getPort(), events, peerPort, address(other)));
  }

  private static InetSocketAddress address(DatagramSocket socket) {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** What the dispatcher's process is told. */
  public Map<String, String> environment() {
    return Map.of(
        "ROUTER_NAME",
        "n0",
        "ROUTER_LISTEN",
        "127.0.0.1:" + listen.getPort(),
        "ROUTER_CONFIG",
        directory.resolve("config.json").toString());
  }

  /** What went otherwise than expected so far; empty where nothing did. */
  public List<String> problems() {
    return List.copyOf(problems);
  }

  /**
   * Waits until the dispatcher is live, plays every scene and stops it.
   *
   * @param over told the name of each scene when it is over, {@code ready} first
   */
  public void play(ChildProcess dispatcher, Consumer<String> over)
      throws IOException, InterruptedException {
    expect("live", () -> !dispatcher.isAlive() || isLive());
    if (!dispatcher.isAlive()) {
      problems.add("the dispatcher ended at its start");
      return;
    }
    over.accept("ready");
    served();
    over.accept("served");
    failed();
    over.accept("refused, failed, second attempts, clients that leave");
    unusable();
    over.accept("requests that cannot be used");
    peers();
    over.accept("peers");
    listChanges();
    over.accept("list changes");
    dispatcher.signal("STOP");
    Thread.sleep(600);
    dispatcher.signal("CONT");
    Thread.sleep(300);
    over.accept("a pause of the process");
    reconfiguration(dispatcher);
    over.accept("reconfiguration");
    served();
    over.accept("served again");
    stop(dispatcher);
    over.accept("stop");
  }

  private boolean isLive() {
    try {
      return FastCgiClient.isLive(listen, 500);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  // ---- calls

  private Reaction react(Arrival arrival) {
    if (late.remove(arrival.id())) {
      sleep(DayConfig.DEADLINE_MILLIS + 100);
    }
    Reaction first = atFirst.remove(arrival.id());
    return first != null ? first : always.getOrDefault(arrival.id(), Reaction.SERVE);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void served() throws IOException, InterruptedException {
    try (CallBatch calls = new CallBatch(listen)) {
      for (int i = 0; i < CALLS; i++) {
        calls.send(params(i));
      }
      expectAnswers(calls);
    }
  }

  private Map<String, String> params(int number) {
    return params(CLASSES.get(number % CLASSES.size()), number % FUNCTIONS);
  }

  private Map<String, String> params(String requestClass, int function) {
    String id = hex(++lastId);
    Map<String, String> params = FastCgiClient.params(
        requestClass, id, hex(0xf00 + function), DayConfig.DEADLINE_MILLIS - 100);
    if (lastId % 2 == 0) {
      params.put("HTTP_X_RETRY", "1");
    }
    if (lastId % 3 == 0) {
      params.put("HTTP_IDEMPOTENCY_KEY", "key-" + id);
    }
    return params;
  }

  private static String hex(int number) {
    return String.format("%016x", number);
  }

  private static String id(Map<String, String> params) {
    return params.get("HTTP_X_REQUEST_ID");
  }

  /** Runners that refuse, fail, say nothing, break off or talk nonsense, once or always; clients that leave. */
  private void failed() throws IOException, InterruptedException {
    try (CallBatch calls = new CallBatch(listen);
        CallBatch leaving = new CallBatch(listen);
        FastCgiClient silent = new FastCgiClient(listen);
        FastCgiClient half = new FastCgiClient(listen)) {
      half.write(UnusableRequests.half(params("safe", 1)));
      for (Reaction reaction : Reaction.values()) {
        for (String requestClass : CLASSES) {
          Map<String, String> once = params(requestClass, 1);
          atFirst.put(id(once), reaction);
          calls.send(once);
          Map<String, String> each = params(requestClass, FUNCTIONS + reaction.ordinal());
          always.put(id(each), reaction);
          calls.send(each);
        }
      }
      Map<String, String> withdrawn = params("safe", 2);
      always.put(id(withdrawn), Reaction.SILENT);
      leaving.sendAndAbort(withdrawn);
      Map<String, String> left = params("unsafe", 3);
      always.put(id(left), Reaction.SILENT);
      leaving.send(left);
      Thread.sleep(200);
      leaving.close();
      expectAnswers(calls);
      expect("an end of the half request", () -> answered(half));
      expect("an end of the silent connection", () -> ended(silent));
    }
  }

  private static boolean answered(FastCgiClient client) {
    try {
      return client.await(1, 50) != null || client.awaitEnd(1);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  private static boolean ended(FastCgiClient client) {
    try {
      return client.awaitEnd(50);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return true;
    }
  }

  private void unusable() throws IOException, InterruptedException {
    try (CallBatch calls = new CallBatch(listen)) {
      for (Map<String, String> params : UnusableRequests.of(params("safe", 1))) {
        calls.send(params);
      }
      calls.sendBody(params("safe", 1), UnusableRequests.LARGE_BODY);
      expectAnswers(calls);
    }
    for (byte[] bytes : UnusableRequests.bytes(params("safe", 1))) {
      FastCgiClient client = new FastCgiClient(listen);
      clients.add(client);
      client.write(bytes);
    }
    try (FastCgiClient crowd = new FastCgiClient(listen)) {
      clients.add(crowd);
      for (int i = 1; i <= UnusableRequests.MOST_OPEN + 2; i++) {
        Map<String, String> params = params("safe", 4);
        always.put(id(params), Reaction.SILENT);
        crowd.send(i, params, new byte[1]);
      }
      Thread.sleep(100);
    }
  }

  private void expectAnswers(CallBatch calls) throws InterruptedException {
    int missing = calls.unanswered(PATIENCE);
    if (missing > 0) {
      problems.add(missing + " calls had no answer");
    }
  }

  // ---- what the dispatcher is told

  private void peers() throws IOException, InterruptedException {
    for (String text : List.of("sick r1", "sick nobody", "nonsense")) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      DatagramPacket packet =
          new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), peerPort);
      other.send(packet);
      try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
        stranger.send(packet);
      }
    }
    Thread.sleep(50);
  }

  private void listed(String uid, InetSocketAddress at, String state) {
    listed(uid, at, state, false, 0);
  }

  private void listed(
      String uid, InetSocketAddress at, String state, boolean all, long bootMillis) {
    String event = PlatformChangeLog.event(
        events.size() + 1L, all || events.isEmpty(), uid, at, state, bootMillis);
    if (log == null) {
      events.add(event);
    } else {
      log.add(event);
    }
  }

  /** A runner that drains, goes and comes back elsewhere, a new one, half an event, a silence, a new whole list. */
  private void listChanges() throws IOException, InterruptedException {
    InetSocketAddress second = runners.get(1).address();
    listed("r2", second, "leaving");
    listed("r3", runners.get(2).address(), "left");
    listed("r4", second, "active", false, System.currentTimeMillis() - 500);
    runners.add(new PlatformRunner(this::react));
    listed("r3", runners.get(3).address(), "active");
    served();
    int asked = log.requestedFrom().size();
    log.breakConnection();
    log.add("{\"seq\":" + (events.size() + 1) + ",\"fleet\":{\"rev\":1,\"all\":false,\"targets\":"
        + "[{\"uid\":\"odd\",\"endpoint\":\"nowhere\",\"state\":\"active\"}]}}");
    expect("the change log is asked again", () -> log.requestedFrom().size() > asked);
    log.sendStaleHeartbeats();
    Thread.sleep(300);
    int askedBefore = log.requestedFrom().size();
    log.stopSending();
    expect("a silent change log is asked again", () -> log.requestedFrom().size() > askedBefore);
    listed("r1", runners.get(0).address(), "active", true, 0);
    listed("r3", runners.get(3).address(), "active");
    Thread.sleep(200);
  }

  private void configure(String text) throws IOException {
    Path next = directory.resolve("next.json");
    Files.writeString(next, text);
    Files.move(next, directory.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
  }

  /** A configuration that cannot be read, and one that names another change log. */
  private void reconfiguration(ChildProcess dispatcher) throws IOException, InterruptedException {
    configure("{");
    dispatcher.signal("HUP");
    Thread.sleep(400);
    PlatformChangeLog next = new PlatformChangeLog(events);
    log.close();
    log = next;
    configure(DayConfig.text(next.address().getPort(), events, peerPort, address(other)));
    dispatcher.signal("HUP");
    expect("the new change log is followed", () -> !next.requestedFrom().isEmpty());
  }

  /** A stop while one call waits for an answer that comes too late, and with one that never gets any. */
  private void stop(ChildProcess dispatcher) throws IOException, InterruptedException {
    try (CallBatch calls = new CallBatch(listen)) {
      Map<String, String> slow = params("safe", 1);
      late.add(id(slow));
      calls.send(slow);
      dispatcher.signal("TERM");
      for (int i = 0; i < 5; i++) {
        Thread.sleep(120);
        Map<String, String> held = params(i);
        if (i >= 3) {
          always.put(id(held), Reaction.SILENT);
        }
        calls.send(held);
      }
      expectAnswers(calls);
    }
    int code = dispatcher.await(PATIENCE);
    if (code != STOPPED) {
      problems.add("the dispatcher ended with " + code);
    }
  }

  private void expect(String what, BooleanSupplier holds) throws InterruptedException {
    long until = System.nanoTime() + PATIENCE * 1_000_000;
    while (!holds.getAsBoolean()) {
      if (System.nanoTime() > until) {
        problems.add("waited in vain: " + what);
        return;
      }
      Thread.sleep(5);
    }
  }

  @Override
  public void close() throws IOException {
    for (FastCgiClient client : clients) {
      client.close();
    }
    log.close();
    for (PlatformRunner runner : runners) {
      runner.close();
    }
    other.close();
  }
}
