package gorseladder.node.runners;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorseladder.RouterApi.Effect;
import gorseladder.RouterApi.Limits;
import gorseladder.RouterApi.Outcome;
import gorseladder.RouterApi.Rules;
import gorseladder.attempts.AttemptOutcomes.Ending;
import gorseladder.core.RuleLog;
import gorseladder.core.StallDetector;
import gorseladder.gate.SendGate;
import gorseladder.node.NodeCall;
import gorseladder.node.NodeConfig;
import gorseladder.permits.Verdict;
import gorseladder.runtime.ByteBudget;
import gorseladder.runtime.ThreadCache;
import gorseladder.runtime.Threads;
import gorseladder.runtime.Watchdog;
import gorseladder.wire.runner.AnswerParser.Answer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.channels.SocketChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The moments at which a request, its connection and its end can cross; a seam of the request holds each. */
class RunnerRequestTest {
  private static final long SECOND = 1_000_000;

  private ServerSocket server;
  private Watchdog watchdog;
  private RunnerLinks links;

  /** An request that does at each step what the test says. */
  private class Probe extends RunnerRequest {
    final List<Outcome> ends = new ArrayList<>();
    Runnable atSize = () -> {};
    Runnable atLastLook = () -> {};
    int size = 10;
    byte[] halt;

    Probe() {
      super(RunnerRequestTest.this.links, "r");
    }

    @Override
    String id() {
      return "e" + System.identityHashCode(this);
    }

    @Override
    int size() {
      atSize.run();
      return size;
    }

    @Override
    NodeCall call() {
      return null;
    }

    @Override
    Effect effect() {
      return Effect.UNSAFE;
    }

    @Override
    Verdict mayLeave(long now) {
      atLastLook.run();
      return Verdict.ALLOWED;
    }

    @Override
    byte[] bytes(long now) {
      return new byte[size];
    }

    @Override
    byte[] halt() {
      return halt;
    }

    @Override
    Outcome outcome(Answer answer) {
      return Outcome.OK;
    }

    @Override
    void report(Outcome outcome, Answer answer) {
      ends.add(outcome);
    }
  }

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    watchdog = new Watchdog("watchdog", 128 << 10);
    Rules rules = new Rules(500_000, 0.2, SECOND, 2, SECOND, 0, 0, 0);
    links = new RunnerLinks(
        new NodeConfig.Links(250_000, 30 * SECOND, 100, true, true),
        new Limits(4, false, true, false, false, true, true, SECOND, SECOND),
        new SendGate(rules),
        new StallDetector(watchdog),
        new RuleLog(),
        watchdog,
        Runnable::run,
        4,
        1 << 20,
        new ThreadCache("t", 0, 128 << 10));
  }

  @AfterEach
  void stop() throws IOException {
    links.close();
    watchdog.close();
    server.close();
  }

  private InetSocketAddress address() {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  /** A connection that nobody opens: what is put on it waits. */
  private LinkConnection connection() throws IOException {
    return new LinkConnection(address(), 250_000, 1 << 20, Runnable::run, (c, open, why) -> false);
  }

  @Test
  void whatIsGivenUpAtTheLastLookCountsAsMayHaveRun() throws Exception {
    Probe request = new Probe();
    LinkConnection carrier = connection();
    request.on(carrier);
    CountDownLatch looking = new CountDownLatch(1);
    Thread gives = new Thread(() -> {
      try {
        looking.await();
        request.giveUp(Ending.CANCELLED);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    });
    gives.start();
    request.atLastLook = () -> {
      looking.countDown();
      // Held here until the other thread stands at the lock, or has gone past it.
      while (gives.getState() != Thread.State.BLOCKED && gives.isAlive()) {
        Thread.onSpinWait();
      }
    };
    assertNotNull(request.take(carrier), "it leaves");
    gives.join();
    assertEquals(List.of(Outcome.CANCELLED), request.ends);
    assertFalse(request.ends.get(0).neverRan);
  }

  @Test
  void itLeavesOnceAndOnlyByTheConnectionThatCarriesIt() throws Exception {
    Probe request = new Probe();
    LinkConnection first = connection();
    LinkConnection second = connection();
    request.on(first);
    request.on(second);
    assertNull(request.take(first));
    assertNotNull(request.take(second));
    assertNull(request.take(second));
    Probe given = new Probe();
    given.on(first);
    given.giveUp(Ending.CANCELLED);
    assertNull(given.take(first));
    assertEquals(List.of(Outcome.MOOT), given.ends);
  }

  /** The connection ends, and tells so, while the request is being put on it: it moves once, not twice. */
  @Test
  void aConnectionThatEndsInTheHandOverSaysItOnce() throws Exception {
    Probe blocks = new Probe();
    blocks.size = 5 << 20;
    Probe request = new Probe();
    LinkConnection carrier = connection();
    blocks.on(carrier);
    assertTrue(carrier.carry(blocks));
    request.on(carrier);
    request.size = 5 << 20;
    request.atSize = () -> carrier.close(Ending.BROKEN, "test");
    assertTrue(
        carrier.carry(request),
        "its end has told of it; carrying it elsewhere too would send it twice");
    assertEquals(1, request.ends.size());
    assertTrue(request.ends.get(0).neverRan);
  }

  @Test
  void whatIsGivenUpInTheHandOverStaysNowhere() throws Exception {
    Probe request = new Probe();
    LinkConnection carrier = connection();
    request.on(carrier);
    request.atSize = () -> request.giveUp(Ending.CANCELLED);
    assertTrue(carrier.carry(request));
    assertEquals(0, carrier.carrying());
    Probe before = new Probe();
    before.on(carrier);
    before.giveUp(Ending.TIMED_OUT);
    assertTrue(carrier.carry(before));
    assertEquals(0, carrier.carrying());
  }

  /**
   * Until its halt is on the wire, or the connection has ended, what was given up is out: a second attempt would be one
   * too many.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void theEndOfWhatLeftIsToldOnceItIsOnTheWire(boolean written) throws Exception {
    ConcurrentLinkedQueue<Runnable> held = new ConcurrentLinkedQueue<>();
    AtomicBoolean holds = new AtomicBoolean();
    Executor writers = task -> {
      if (holds.get()) {
        held.add(task);
      } else {
        task.run();
      }
    };
    LinkConnection carrier =
        new LinkConnection(address(), 250_000, 1 << 20, writers, (c, open, why) -> false);
    Thread runs = new Thread(carrier::run);
    runs.setDaemon(true);
    runs.start();
    Probe request = new Probe();
    request.halt = new byte[] {'h'};
    // So much that its halt is not written at once by the thread that gives it up.
    request.size = 9_000;
    request.on(carrier);
    assertTrue(carrier.carry(request));
    try (Socket runner = server.accept()) {
      assertEquals(request.size, runner.getInputStream().readNBytes(request.size).length);
      // The connection's own thread may still be in the write that this came from, and would take
      // the halt along.
      while (carrier.hasUnwritten()) {
        Thread.onSpinWait();
      }
      holds.set(true);
      request.giveUp(Ending.CANCELLED);
      assertEquals(List.of(), request.ends, "its halt waits to be written");
      holds.set(false);
      if (written) {
        held.forEach(Runnable::run);
        assertEquals('h', runner.getInputStream().read());
      } else {
        carrier.close(Ending.BROKEN, "test");
      }
      assertEquals(List.of(Outcome.CANCELLED), request.ends);
    }
  }

  /**
   * Guards against requests that wait for the turn of another thread: with little processor that takes hundreds of
   * milliseconds. No writer runs here; what was answered has been read, so that more may follow.
   */
  @Test
  void aRequestLeavesThoughNoWriterRuns() throws Exception {
    LinkConnection carrier =
        new LinkConnection(address(), 250_000, 1 << 20, task -> {}, (c, open, why) -> false);
    Thread runs = new Thread(carrier::run);
    runs.setDaemon(true);
    runs.start();
    try (Socket runner = server.accept()) {
      runner.setSoTimeout(2_000);
      for (int i = 0; i < 10; i++) {
        Probe request = new Probe();
        request.size = 4_000;
        request.on(carrier);
        assertTrue(carrier.carry(request));
        assertEquals(request.size, runner.getInputStream().readNBytes(request.size).length);
        runner.getOutputStream().write((request.id() + " ok - 0\r\n\r\n").getBytes(US_ASCII));
        assertTimeoutPreemptively(Duration.ofSeconds(2), () -> {
          while (carrier.carrying() > 0) {
            Thread.onSpinWait();
          }
        });
      }
    } finally {
      carrier.close(Ending.BROKEN, "test");
    }
  }

  /** A runner that does not read holds up no thread that hands a request over. */
  @Test
  void whatARunnerLeavesUnreadHoldsUpNobody() throws Exception {
    LinkConnection carrier =
        new LinkConnection(address(), 250_000, 1 << 20, task -> {}, (c, open, why) -> false);
    Thread runs = new Thread(carrier::run);
    runs.setDaemon(true);
    runs.start();
    try (Socket runner = server.accept()) {
      assertTimeoutPreemptively(Duration.ofSeconds(5), () -> {
        for (int i = 0; i < 2_000; i++) {
          Probe request = new Probe();
          request.size = 2_000;
          request.on(carrier);
          assertTrue(carrier.carry(request));
        }
      });
    } finally {
      carrier.close(Ending.BROKEN, "test");
    }
  }

  /** Guards against answers without an end whose sum over all connections has no bound. */
  @Test
  void unfinishedAnswersOfAllConnectionsShareOneBound() throws Exception {
    server.setSoTimeout(5_000);
    ByteBudget budget = new ByteBudget(1 << 20);
    List<LinkConnection> connections = new CopyOnWriteArrayList<>();
    List<Socket> runners = new ArrayList<>();
    byte[] half = new byte[400_000];
    for (int number = 0; number < 4; number++) {
      LinkConnection connection = new LinkConnection(
          address(),
          250_000,
          1 << 20,
          Runnable::run,
          new AnswerBytes(budget, () -> endsLargest(connections)),
          (c, open, why) -> false,
          SocketChannel::open);
      connections.add(connection);
      Threads.start("link", 128 << 10, connection::run);
      Socket runner = server.accept();
      runners.add(runner);
      runner.getOutputStream().write("%016x ok - 900000\r\n".formatted(number).getBytes());
      runner.getOutputStream().write(half);
    }
    int ended = 0;
    for (Socket runner : runners) {
      ended += endsWithin(runner, 500) ? 1 : 0;
      assertTrue(budget.used() <= budget.limit(), budget.used() + " bytes");
    }
    assertTrue(ended >= 1, "all of them are kept");
    assertTrue(budget.used() > 0, "the others are kept");
    for (Socket runner : runners) {
      runner.close();
    }
  }

  private static boolean endsLargest(List<LinkConnection> connections) {
    LinkConnection largest = LinkConnection.keepsMost(connections.stream());
    largest.close(Ending.BROKEN, "no room");
    return largest.answerBytes() == 0;
  }

  private static boolean endsWithin(Socket runner, int millis) throws IOException {
    runner.setSoTimeout(millis);
    try {
      while (runner.getInputStream().read() >= 0) {
        // What was asked on it.
      }
      return true;
    } catch (SocketTimeoutException e) {
      return false;
    } catch (SocketException e) {
      return true;
    }
  }
}
