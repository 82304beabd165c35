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
 * Plays a short day of one dispatcher among stand-ins, with a scene for each kind of event: calls that are served,
 * refused or fail, second attempts, clients that leave, unusable requests, messages of the other dispatcher, changes
 * of the worker list, a pause of the process, a new configuration, and a stop with a call held. It takes about eight
 * seconds. The dispatcher is expected to answer every call and to exit in order.
 *
 * <p>Not thread-safe. The dispatcher is a separate process, whose {@link #environment} names the addresses of this
 * day.
 */
public final class DispatcherDay implements AutoCloseable {
  /** Timeout of every expectation; long enough for a busy machine. */
  private static final long TIMEOUT_MILLIS = 20_000;
  /** The exit code of a dispatcher that stopped in order. */
  private static final int EXIT_STOPPED = 0;

  private static final int CALLS = 60;
  private static final int FUNCTIONS = 5;
  private static final List<String> CLASSES = List.of("safe", "unsafe", "keyed", "celled");

  private final Path directory;
  private final Map<String, Reaction> firstReactions = new ConcurrentHashMap<>();
  private final Map<String, Reaction> reactions = new ConcurrentHashMap<>();
  private final Set<String> lateAnswers = ConcurrentHashMap.newKeySet();
  private final List<String> events = new ArrayList<>();
  private final List<PlatformRunner> runners = new ArrayList<>();
  private final List<FastCgiClient> clients = new ArrayList<>();
  private final List<String> problems = new ArrayList<>();
  private final DatagramSocket otherDispatcher;
  private final InetSocketAddress listen;
  private final int peerPort;
  private PlatformChangeLog log;
  private int lastId;

  /**
   * Starts the stand-ins; the dispatcher can be started afterwards.
   *
   * @param directory an empty folder for the configuration file
   * @throws IOException if no loopback port is available
   */
  public DispatcherDay(Path directory) throws IOException {
    this.directory = directory;
    InetAddress loopback = InetAddress.getLoopbackAddress();
    otherDispatcher = new DatagramSocket(0, loopback);
    try (ServerSocket free = new ServerSocket(0, 1, loopback);
        DatagramSocket freePeer = new DatagramSocket(0, loopback)) {
      listen = (InetSocketAddress) free.getLocalSocketAddress();
      peerPort = freePeer.getLocalPort();
    }
    for (String uid : List.of("r1", "r2", "r3")) {
      runners.add(new PlatformRunner(this::react));
      addListEvent(uid, runners.get(runners.size() - 1).address(), "active");
    }
    // A port on which no process listens.
    try (ServerSocket closed = new ServerSocket(0, 1, loopback)) {
      addListEvent("closed", (InetSocketAddress) closed.getLocalSocketAddress(), "active");
    }
    log = new PlatformChangeLog(events);
    configure(DayConfig.text(log.address().getPort(), events, peerPort, address(otherDispatcher)));
  }

  private static InetSocketAddress address(DatagramSocket socket) {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  /** Returns the environment variables for the process of the dispatcher. */
  public Map<String, String> environment() {
    return Map.of(
        "ROUTER_NAME",
        "n0",
        "ROUTER_LISTEN",
        "127.0.0.1:" + listen.getPort(),
        "ROUTER_CONFIG",
        directory.resolve("config.json").toString());
  }

  /** Returns the deviations from what is expected so far; empty if there are none. */
  public List<String> problems() {
    return List.copyOf(problems);
  }

  /**
   * Waits until the dispatcher is live, plays all scenes and stops it.
   *
   * @param sceneEnded receives the name of each scene when it ends, {@code ready} first
   */
  public void play(ChildProcess dispatcher, Consumer<String> sceneEnded)
      throws IOException, InterruptedException {
    awaitCondition("live", () -> !dispatcher.isAlive() || isLive());
    if (!dispatcher.isAlive()) {
      problems.add("the dispatcher ended at its start");
      return;
    }
    sceneEnded.accept("ready");
    playServed();
    sceneEnded.accept("served");
    playFailed();
    sceneEnded.accept("refused, failed, second attempts, clients that leave");
    playUnusable();
    sceneEnded.accept("requests that cannot be used");
    playPeers();
    sceneEnded.accept("peers");
    playListChanges();
    sceneEnded.accept("list changes");
    dispatcher.signal("STOP");
    Thread.sleep(600);
    dispatcher.signal("CONT");
    Thread.sleep(300);
    sceneEnded.accept("a pause of the process");
    playReconfiguration(dispatcher);
    sceneEnded.accept("reconfiguration");
    playServed();
    sceneEnded.accept("served again");
    playStop(dispatcher);
    sceneEnded.accept("stop");
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
    if (lateAnswers.remove(arrival.id())) {
      sleep(DayConfig.DEADLINE_MILLIS + 100);
    }
    Reaction first = firstReactions.remove(arrival.id());
    return first != null ? first : reactions.getOrDefault(arrival.id(), Reaction.SERVE);
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void playServed() throws IOException, InterruptedException {
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

  /**
   * Plays runners that refuse, fail, do not answer, break the connection or send invalid data, once or always, and
   * clients that leave.
   */
  private void playFailed() throws IOException, InterruptedException {
    try (CallBatch calls = new CallBatch(listen);
        CallBatch leaving = new CallBatch(listen);
        FastCgiClient silent = new FastCgiClient(listen);
        FastCgiClient partial = new FastCgiClient(listen)) {
      partial.write(UnusableRequests.partial(params("safe", 1)));
      for (Reaction reaction : Reaction.values()) {
        for (String requestClass : CLASSES) {
          Map<String, String> once = params(requestClass, 1);
          firstReactions.put(id(once), reaction);
          calls.send(once);
          Map<String, String> each = params(requestClass, FUNCTIONS + reaction.ordinal());
          reactions.put(id(each), reaction);
          calls.send(each);
        }
      }
      Map<String, String> withdrawn = params("safe", 2);
      reactions.put(id(withdrawn), Reaction.SILENT);
      leaving.sendAndAbort(withdrawn);
      Map<String, String> left = params("unsafe", 3);
      reactions.put(id(left), Reaction.SILENT);
      leaving.send(left);
      Thread.sleep(200);
      leaving.close();
      expectAnswers(calls);
      awaitCondition("the end of the partial request", () -> answered(partial));
      awaitCondition("the end of the silent connection", () -> ended(silent));
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

  private void playUnusable() throws IOException, InterruptedException {
    try (CallBatch calls = new CallBatch(listen)) {
      for (Map<String, String> params : UnusableRequests.of(params("safe", 1))) {
        calls.send(params);
      }
      calls.sendBody(params("safe", 1), UnusableRequests.LARGE_BODY);
      expectAnswers(calls);
    }
    for (byte[] bytes : UnusableRequests.connectionStarts(params("safe", 1))) {
      FastCgiClient client = new FastCgiClient(listen);
      clients.add(client);
      client.write(bytes);
    }
    try (FastCgiClient crowd = new FastCgiClient(listen)) {
      clients.add(crowd);
      for (int i = 1; i <= UnusableRequests.MAX_OPEN_REQUESTS + 2; i++) {
        Map<String, String> params = params("safe", 4);
        reactions.put(id(params), Reaction.SILENT);
        crowd.send(i, params, new byte[1]);
      }
      Thread.sleep(100);
    }
  }

  private void expectAnswers(CallBatch calls) throws InterruptedException {
    int missing = calls.unanswered(TIMEOUT_MILLIS);
    if (missing > 0) {
      problems.add(missing + " calls had no answer");
    }
  }

  // ---- messages to the dispatcher

  private void playPeers() throws IOException, InterruptedException {
    for (String text : List.of("sick r1", "sick nobody", "nonsense")) {
      byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
      DatagramPacket packet =
          new DatagramPacket(bytes, bytes.length, InetAddress.getLoopbackAddress(), peerPort);
      otherDispatcher.send(packet);
      try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
        stranger.send(packet);
      }
    }
    Thread.sleep(50);
  }

  private void addListEvent(String uid, InetSocketAddress at, String state) {
    addListEvent(uid, at, state, false, 0);
  }

  private void addListEvent(
      String uid, InetSocketAddress at, String state, boolean all, long bootMillis) {
    String event = PlatformChangeLog.event(
        events.size() + 1L, all || events.isEmpty(), uid, at, state, bootMillis);
    if (log == null) {
      events.add(event);
    } else {
      log.add(event);
    }
  }

  /**
   * Plays a runner that drains, leaves and returns at another address, a new runner, an incomplete event, a silent
   * change log and a new complete list.
   */
  private void playListChanges() throws IOException, InterruptedException {
    InetSocketAddress second = runners.get(1).address();
    addListEvent("r2", second, "leaving");
    addListEvent("r3", runners.get(2).address(), "left");
    addListEvent("r4", second, "active", false, System.currentTimeMillis() - 500);
    runners.add(new PlatformRunner(this::react));
    addListEvent("r3", runners.get(3).address(), "active");
    playServed();
    int asked = log.requestedFrom().size();
    log.breakConnection();
    log.add("{\"seq\":" + (events.size() + 1) + ",\"fleet\":{\"rev\":1,\"all\":false,\"targets\":"
        + "[{\"uid\":\"odd\",\"endpoint\":\"nowhere\",\"state\":\"active\"}]}}");
    awaitCondition("the change log is asked again", () -> log.requestedFrom().size() > asked);
    log.sendStaleHeartbeats();
    Thread.sleep(300);
    int askedBefore = log.requestedFrom().size();
    log.stopSending();
    awaitCondition(
        "a silent change log is asked again", () -> log.requestedFrom().size() > askedBefore);
    addListEvent("r1", runners.get(0).address(), "active", true, 0);
    addListEvent("r3", runners.get(3).address(), "active");
    Thread.sleep(200);
  }

  private void configure(String text) throws IOException {
    Path next = directory.resolve("next.json");
    Files.writeString(next, text);
    Files.move(next, directory.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
  }

  /** Plays a configuration that cannot be parsed, and one that names another change log. */
  private void playReconfiguration(ChildProcess dispatcher)
      throws IOException, InterruptedException {
    configure("{");
    dispatcher.signal("HUP");
    Thread.sleep(400);
    PlatformChangeLog next = new PlatformChangeLog(events);
    log.close();
    log = next;
    configure(DayConfig.text(next.address().getPort(), events, peerPort, address(otherDispatcher)));
    dispatcher.signal("HUP");
    awaitCondition("the new change log is followed", () -> !next.requestedFrom().isEmpty());
  }

  /** Plays a stop while one call waits for an answer that comes too late and others never get one. */
  private void playStop(ChildProcess dispatcher) throws IOException, InterruptedException {
    try (CallBatch calls = new CallBatch(listen)) {
      Map<String, String> slow = params("safe", 1);
      lateAnswers.add(id(slow));
      calls.send(slow);
      dispatcher.signal("TERM");
      for (int i = 0; i < 5; i++) {
        Thread.sleep(120);
        Map<String, String> held = params(i);
        if (i >= 3) {
          reactions.put(id(held), Reaction.SILENT);
        }
        calls.send(held);
      }
      expectAnswers(calls);
    }
    int code = dispatcher.await(TIMEOUT_MILLIS);
    if (code != EXIT_STOPPED) {
      problems.add("the dispatcher ended with " + code);
    }
  }

  private void awaitCondition(String what, BooleanSupplier condition) throws InterruptedException {
    long deadline = System.nanoTime() + TIMEOUT_MILLIS * 1_000_000;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > deadline) {
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
    otherDispatcher.close();
  }
}
